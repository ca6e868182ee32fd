use super::*;
use crate::config::Config;
use crate::discovery::List;
use balancer_core::Settings;
use balancer_settings::{HostSettings, WireSettings};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Both ends of a connection that knows no option of TCP, so that setting one fails.
fn optionless() -> (TcpStream, TcpStream) {
    let end = |stream: UnixStream| {
        let stream = std::net::TcpStream::from(OwnedFd::from(stream));
        stream.set_nonblocking(true).expect("it does not block");
        TcpStream::from_std(stream).expect("a stream")
    };
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    assert!(end(ours.try_clone().expect("a clone")).set_nodelay(true).is_err());
    (end(ours), end(theirs))
}

/// A server that knows the class `read` and no backend.
fn server() -> Rc<Server> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config {
        name: "agent".into(),
        listen: nowhere,
        discovery: nowhere,
        seed: 1,
        sockets: 100,
        settings: Settings::default(),
        names: HostSettings {
            class_names: vec!["read".into()],
            ..HostSettings::from(&WireSettings::default())
        },
        known: List::default(),
    };
    Server::new(Driver::start(config, 10).expect("a driver"), 10, Duration::from_secs(1))
}

#[tokio::test]
async fn a_client_is_answered_even_if_an_option_of_its_socket_cannot_be_set() {
    let serve = async {
        let (stream, mut client) = optionless();
        client.write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("it is written");
        let mut answer = [0; 12];
        tokio::select! {
            () = server().connection(stream, Line::new(), Rc::default()) => {}
            read = client.read_exact(&mut answer) => assert!(read.is_ok()),
        }
        assert_eq!(&answer, b"HTTP/1.1 503");
    };
    tokio::task::LocalSet::new().run_until(serve).await;
}

const REQUEST: &[u8] = b"GET /read HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\n\
    X-Timeout: 900m\r\n\r\n";

/// A request that comes behind the last answer, over a connection whose sending has ended, is neither taken nor answered:
/// its client asks again over another one. The connection does not stay for a client that stays.
#[tokio::test(start_paused = true)]
async fn what_comes_after_the_shutdown_is_not_taken() {
    let serve = async {
        let (stream, mut client) = optionless();
        let line = Line::new();
        let mut connection = pin!(server().connection(stream, line.clone(), Rc::default()));
        client.write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").await.expect("it is written");
        while line.phase().0 != Phase::Leaving {
            assert!(poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_pending())).await);
            tokio::task::yield_now().await;
        }
        client.write_all(REQUEST).await.expect("it is written");
        let left = Instant::now();
        connection.await;
        assert!(left.elapsed() <= 2 * LINGER);
        let mut answers = String::new();
        // A close over bytes that nobody has read would be an error here.
        client.read_to_string(&mut answers).await.expect("a plain end");
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
        assert_eq!(line.phase().0, Phase::Leaving);
    };
    tokio::task::LocalSet::new().run_until(serve).await;
}

/// A request that has come by the time the planned end is seen is taken before its resting connection closes.
#[tokio::test]
async fn a_request_ahead_of_the_planned_end_is_taken() {
    let serve = async {
        let (stream, mut client) = optionless();
        let (server, line) = (server(), Line::new());
        let mut connection = pin!(server.clone().connection(stream, line.clone(), Rc::default()));
        let mut waits = async || poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_pending())).await;
        client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await.expect("it is written");
        while line.phase().0 != Phase::Idle {
            assert!(waits().await);
            tokio::task::yield_now().await;
        }
        client.write_all(REQUEST).await.expect("it is written");
        let now = Instant::now();
        server.end.send_replace(Some(End { accept: now, answer: now + Duration::from_secs(60) }));
        // The runtime looks at its sockets before the time is over.
        sleep(Duration::from_millis(5)).await;
        assert!(waits().await, "it has closed");
        assert_eq!(line.phase().0, Phase::Open);
    };
    tokio::task::LocalSet::new().run_until(serve).await;
}

/// A mute connection is asked to give way, and its first request has come by the time it looks.
#[tokio::test]
async fn a_connection_that_speaks_as_it_is_to_give_way_stays() {
    let serve = async {
        let (stream, mut client) = optionless();
        let (line, leave) = (Line::new(), Rc::<Notify>::default());
        let mut connection = pin!(server().connection(stream, line.clone(), leave.clone()));
        let mut waits = async || poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_pending())).await;
        assert!(waits().await);
        client.write_all(REQUEST).await.expect("it is written");
        leave.notify_one();
        // The runtime looks at its sockets before the time is over.
        sleep(Duration::from_millis(5)).await;
        assert!(waits().await, "it has left");
        assert_eq!(line.phase().0, Phase::Open);
    };
    tokio::task::LocalSet::new().run_until(serve).await;
}

#[test]
fn waits_have_a_number_and_a_unit() {
    assert_eq!(wait_of("480m"), Some(Duration::from_millis(480)));
    assert_eq!(wait_of("900u"), Some(Duration::from_micros(900)));
    for text in
        ["", "m", "480", "-1m", "0m", "1e9m", "nanm", "infm", "99999999999999999999m", "4s", "é", "1é"]
    {
        assert_eq!(wait_of(text), None, "{text}");
    }
}
