use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CONNECT: Duration = Duration::from_secs(60);

/// Knows the backend behind the listener.
fn upstream(listener: &TcpListener) -> Rc<Upstream> {
    let dial = listener.local_addr().expect("an address");
    let upstream = Rc::new(Upstream::new(10, CONNECT, Duration::from_secs(600), Vec::new()));
    let listed = serde_json::json!({"seq": 1, "hosts": [
        {"host": "s", "dial": dial.to_string(), "health": "up"}]});
    let listed = crate::discovery::parse_list(&listed).expect("a list");
    upstream.describe(ServerId(0), &listed.hosts[0]);
    upstream
}

/// The next request over a connection that has just brought an answer waits a moment: the second answer is there
/// before anything of that request is written, whose own answer comes over another connection.
#[tokio::test(start_paused = true)]
async fn a_second_answer_is_not_given_to_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let upstream = upstream(&listener);
    let attempt = || {
        let (upstream, request) = (upstream.clone(), Request::get("/").body(Full::default()));
        async move {
            let until = Instant::now() + Duration::from_secs(600);
            let progress = Progress::new(None);
            upstream.attempt(ServerId(0), request.expect("a request"), until, &progress).await.answer
        }
    };
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let serve = |body: &'static str| {
        let listener = &listener;
        async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 256];
            assert!(stream.read(&mut head).await.expect("a request") > 0);
            stream.write_all(answer(body).as_bytes()).await.expect("it is written");
            stream
        }
    };
    let play = async {
        let (first, mut stream) = tokio::join!(attempt(), serve("first"));
        assert_eq!(first.expect("an answer").1, "first");
        stream.write_all(answer("second").as_bytes()).await.expect("it is written");
        let (next, _stream) = tokio::join!(attempt(), async { timeout(CONNECT, serve("next")).await });
        assert_eq!(next.expect("an answer").1, "next");
    };
    tokio::task::LocalSet::new().run_until(play).await;
}

/// A backend that takes in next to nothing until it reads, which it does only once the repeat's window is over: it does
/// not get the rest.
#[tokio::test(start_paused = true)]
async fn a_repeat_that_is_still_being_written_at_its_windows_end_is_not_finished() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // With small segments the agent's side of the connection takes in little as well.
    socket.set_tcp_mss(88).expect("an option");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("a listener");
    socket.set_nonblocking(true).expect("an option");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let upstream = upstream(&listener);
    let request = Request::post("/").body(Full::new(Bytes::from(vec![b'b'; MAX_BODY]))).expect("a request");
    let begun = Instant::now();
    let progress = Progress::new(Some(begun + Duration::from_secs(5)));
    let attempt = upstream.attempt(ServerId(0), request, begun + Duration::from_secs(600), &progress);
    let peer = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        sleep_until(begun + Duration::from_secs(6)).await;
        let mut seen = Vec::new();
        // A reset of the connection ends this too.
        while seen.len() <= MAX_BODY && stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {}
        seen.len()
    };
    let play = async { tokio::join!(attempt, peer) };
    let (ended, seen) = tokio::task::LocalSet::new().run_until(play).await;
    assert!(seen <= MAX_BODY, "it came whole");
    assert_eq!(ended.outcome, Outcome::ConnectFailed, "it never ran");
}

#[test]
fn reports_are_read_in_the_order_of_the_settings() {
    let fields = ["qps", "queue"].map(String::from);
    assert_eq!(parse_report("TEXT queue=2, novel=1, qps=40.5", &fields), Some(vec![40.5, 2.0]));
    let odd = parse_report("queue=x,,=,qps=1", &fields).expect("a report");
    assert_eq!(odd[0], 1.0);
    assert!(odd[1].is_nan());
    for text in ["", "TEXT", "TEXT queue=NaN", "novel=1", "queue"] {
        assert_eq!(parse_report(text, &fields), None, "{text}");
    }
}

#[test]
fn headers_of_the_connection_stay_behind() {
    let mut headers = HeaderMap::new();
    for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-timeout", "5m"), ("x-a", "b")] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let left = forwarded(&headers);
    assert_eq!(left.len(), 1);
    assert_eq!(left["x-a"], "b");
}
