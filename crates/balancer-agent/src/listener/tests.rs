//! One client's connection: options that cannot be set, shutdown, and eviction, each as bytes cross it.

use super::connection::{CLOSE_TIMEOUT, READ_TIMEOUT};
use super::shutdown::ShutdownSchedule;
use super::*;
use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::framing::Phase;
use balancer_core::Settings;
use balancer_settings::{HostSettings, WireSettings};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::pin::{pin, Pin};
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const REQUEST: &[u8] = b"GET /read HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\n\
    X-Timeout: 900m\r\n\r\n";
const READINESS_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
/// The runtime looks at its sockets within this.
const SOCKET_POLL_TIME: Duration = Duration::from_millis(5);

fn stream_of(socket: UnixStream) -> TcpStream {
    let stream = std::net::TcpStream::from(OwnedFd::from(socket));
    stream.set_nonblocking(true).expect("it does not block");
    TcpStream::from_std(stream).expect("a stream")
}

/// Both ends of a connection that knows no option of TCP, so that setting one fails.
fn connection_without_options() -> (TcpStream, TcpStream) {
    let (own, clients) = UnixStream::pair().expect("a pair");
    let probe = stream_of(own.try_clone().expect("a clone"));
    assert!(probe.set_nodelay(true).is_err());
    (stream_of(own), stream_of(clients))
}

/// A listener that knows the class `read` and no server.
fn listener() -> Rc<Listener> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let host_settings = HostSettings::from(&WireSettings::default());
    let config = Config {
        name: "agent".into(),
        listen: nowhere,
        discovery: nowhere,
        seed: 1,
        max_sockets: 100,
        settings: Settings::default(),
        host_settings: HostSettings { class_names: vec!["read".into()], ..host_settings },
        cached_endpoints: EndpointList::default(),
    };
    Listener::new(Driver::start(config, 10).expect("a driver"), 10, Duration::from_secs(1))
}

/// Polls a connection once; whether it goes on.
async fn goes_on(connection: &mut Pin<&mut impl Future<Output = ()>>) -> bool {
    poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_pending())).await
}

/// Lets time pass, in which the connection must go on.
async fn goes_on_for(time: Duration, connection: &mut Pin<&mut impl Future<Output = ()>>) {
    tokio::select! {
        () = connection.as_mut() => panic!("it has closed"),
        () = sleep(time) => {}
    }
}

/// Polls a connection until it is in a phase.
async fn reach(phase: Phase, connection: &mut Pin<&mut impl Future<Output = ()>>, state: &ConnectionState) {
    while state.phase() != phase {
        assert!(goes_on(connection).await);
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_client_is_answered_even_if_an_option_of_its_socket_cannot_be_set() {
    let play = async {
        let (stream, mut client) = connection_without_options();
        let request = b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n";
        client.write_all(request).await.expect("it is written");
        let mut answer = [0; 12];

        tokio::select! {
            () = listener().serve_connection(stream, ConnectionState::new(), Rc::default()) => {}
            read = client.read_exact(&mut answer) => assert!(read.is_ok()),
        }

        assert_eq!(&answer, b"HTTP/1.1 503");
    };
    LocalSet::new().run_until(play).await;
}

/// A request that comes behind the last answer, over a connection whose sending has ended, is neither
/// accepted nor answered: its client asks again over another one. The connection does not stay for a client
/// that stays.
#[tokio::test(start_paused = true)]
async fn a_request_behind_the_last_answer_is_not_accepted() {
    let play = async {
        let (stream, mut client) = connection_without_options();
        let state = ConnectionState::new();
        let mut connection = pin!(listener().serve_connection(stream, state.clone(), Rc::default()));
        let last_request = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
        client.write_all(last_request).await.expect("it is written");
        reach(Phase::Closing, &mut connection, &state).await;

        client.write_all(REQUEST).await.expect("it is written");
        let closing_since = Instant::now();
        connection.await;

        assert!(closing_since.elapsed() <= 2 * CLOSE_TIMEOUT);
        let mut answers = String::new();
        // A close over bytes that nobody has read would be an error here.
        client.read_to_string(&mut answers).await.expect("a plain end");
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
        assert_eq!(state.phase(), Phase::Closing);
    };
    LocalSet::new().run_until(play).await;
}

/// A request that has come by the time the shutdown is seen is accepted before its resting connection closes.
#[tokio::test]
async fn a_request_ahead_of_the_shutdown_is_accepted() {
    let play = async {
        let (stream, mut client) = connection_without_options();
        let (listener, state) = (listener(), ConnectionState::new());
        let mut connection = pin!(listener.clone().serve_connection(stream, state.clone(), Rc::default()));
        client.write_all(READINESS_REQUEST).await.expect("it is written");
        reach(Phase::Idle, &mut connection, &state).await;

        client.write_all(REQUEST).await.expect("it is written");
        let now = Instant::now();
        let answer_by = now + Duration::from_secs(60);
        listener.shutdown.start(ShutdownSchedule { accept_until: now, answer_by });
        sleep(SOCKET_POLL_TIME).await;

        assert!(goes_on(&mut connection).await, "it has closed");
        assert_eq!(state.phase(), Phase::Processing);
    };
    LocalSet::new().run_until(play).await;
}

/// A request that begins shortly before the time for the connection's first request would be over has its own time.
#[tokio::test(start_paused = true)]
async fn a_later_request_is_not_cut_off_by_the_time_of_the_first() {
    let play = async {
        let (stream, mut client) = connection_without_options();
        let state = ConnectionState::new();
        let mut connection = pin!(listener().serve_connection(stream, state.clone(), Rc::default()));
        client.write_all(READINESS_REQUEST).await.expect("it is written");
        reach(Phase::Idle, &mut connection, &state).await;
        goes_on_for(READ_TIMEOUT.mul_f64(0.98), &mut connection).await;

        let (first_half, second_half) = REQUEST.split_at(REQUEST.len() / 2);
        client.write_all(first_half).await.expect("it is written");
        goes_on_for(READ_TIMEOUT / 2, &mut connection).await;
        client.write_all(second_half).await.expect("it is written");

        reach(Phase::Processing, &mut connection, &state).await;
    };
    LocalSet::new().run_until(play).await;
}

/// A silent connection is evicted, and its first request has come by the time it looks.
#[tokio::test]
async fn a_connection_with_a_request_at_its_eviction_stays() {
    let play = async {
        let (stream, mut client) = connection_without_options();
        let (state, eviction) = (ConnectionState::new(), Rc::<Notify>::default());
        let mut connection = pin!(listener().serve_connection(stream, state.clone(), eviction.clone()));
        assert!(goes_on(&mut connection).await);

        client.write_all(REQUEST).await.expect("it is written");
        eviction.notify_one();
        sleep(SOCKET_POLL_TIME).await;

        assert!(goes_on(&mut connection).await, "it has closed");
        assert_eq!(state.phase(), Phase::Processing);
    };
    LocalSet::new().run_until(play).await;
}
