//! Servers whose faults are drawn at random for each request.

use super::common::messages::{ok_response, read_message, Message, NOT_PROCESSED_503};
use super::ledger::{Attempt, Ledger};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The size of a long response body, in bytes (PROTOCOL page).
const LONG_BODY_BYTES: usize = 64 << 10;
/// The number of parts in which a slow response is written.
const SLOW_PARTS: usize = 16;

/// What a server does with a request.
#[derive(Clone, Copy)]
enum Behaviour {
    /// It responds after a while, with a short or a long body.
    Respond { delay: Duration, body_bytes: usize },
    /// It writes a long response in parts.
    RespondSlowly { pause: Duration },
    /// It runs the request and responds with an error.
    Fail,
    /// It turns the request away.
    TurnAway,
    /// It runs the request and resets the connection.
    Reset,
    /// It runs the request and sends half of a response.
    Truncate,
    /// It runs the request and never responds.
    Hang,
    /// It runs the request and responds without an end.
    RespondEndlessly,
}

impl Behaviour {
    /// Draws the behaviour towards one request.
    fn draw(rng: &mut fastrand::Rng) -> Self {
        let delay = Duration::from_millis(rng.u64(0..60));
        match rng.u32(0..200) {
            0..=2 => Behaviour::Fail,
            3..=6 => Behaviour::TurnAway,
            7..=9 => Behaviour::Reset,
            10..=11 => Behaviour::Truncate,
            12..=13 => Behaviour::Hang,
            14 => Behaviour::RespondEndlessly,
            15..=22 => Behaviour::RespondSlowly { pause: Duration::from_millis(rng.u64(5..40)) },
            23..=50 => Behaviour::Respond { delay, body_bytes: LONG_BODY_BYTES },
            _ => Behaviour::Respond { delay, body_bytes: 100 },
        }
    }
}

/// Starts a server and returns its address. It serves until the runtime ends.
pub async fn start_server(seed: u64, ledger: Ledger) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port should be free");
    let address = listener.local_addr().expect("the listener should have an address");
    let mut rng = fastrand::Rng::with_seed(seed);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, rng.fork(), ledger.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, mut rng: fastrand::Rng, ledger: Ledger) {
    loop {
        // The server learns the told time with the first bytes. The last byte of a long body may come later.
        if stream.readable().await.is_err() {
            return;
        }
        let began_at = Instant::now();
        let Some(request) = read_message(&mut stream, 0).await else { return };
        let behaviour = Behaviour::draw(&mut rng);
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let has_run = !matches!(behaviour, Behaviour::TurnAway);
        let told_time = told_time(&request);
        ledger.record_attempt(&id, Attempt { began_at, received_at: Instant::now(), told_time, has_run });
        if !respond(&mut stream, behaviour, &id).await {
            return;
        }
    }
}

/// Returns the time that an attempt tells its server, in microseconds on the wire.
fn told_time(request: &Message) -> Duration {
    let text = request.header("x-timeout").unwrap_or_default().trim_end_matches('u');
    Duration::from_micros(text.parse().unwrap_or(u64::from(u32::MAX)))
}

/// Responds to a request. Returns whether the connection can be used for another one.
async fn respond(stream: &mut TcpStream, behaviour: Behaviour, id: &str) -> bool {
    match behaviour {
        Behaviour::Respond { delay, body_bytes } => {
            sleep(delay).await;
            stream.write_all(&ok_response(&body_of(id, body_bytes))).await.is_ok()
        }
        Behaviour::RespondSlowly { pause } => write_slowly(stream, id, pause).await,
        Behaviour::Fail => {
            let response = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(response).await.is_ok()
        }
        Behaviour::TurnAway => stream.write_all(NOT_PROCESSED_503).await.is_ok(),
        Behaviour::Reset => {
            let _ = stream.set_zero_linger();
            false
        }
        Behaviour::Truncate => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf").await;
            false
        }
        Behaviour::Hang => {
            std::future::pending::<()>().await;
            false
        }
        Behaviour::RespondEndlessly => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
            while stream.write_all(&[b'x'; 1024]).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            false
        }
    }
}

/// Returns a body of this size that begins with the id of its request.
fn body_of(id: &str, bytes: usize) -> String {
    id.to_owned() + &" ".repeat(bytes.saturating_sub(id.len()))
}

async fn write_slowly(stream: &mut TcpStream, id: &str, pause: Duration) -> bool {
    let response = ok_response(&body_of(id, LONG_BODY_BYTES));
    for part in response.chunks(response.len() / SLOW_PARTS + 1) {
        if stream.write_all(part).await.is_err() {
            return false;
        }
        sleep(pause).await;
    }
    true
}
