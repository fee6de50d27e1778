//! HTTP/1.1 client and server for the router and the stand-ins: hyper on async-io.

mod body;
mod client;
mod error_replacing_stream;
mod event_splitter;
mod framing;
mod problem;
mod server;

pub use body::AnswerBody;
pub use body::BodyAborted;
pub use body::BodyChunk;
pub use body::BodyWriter;
pub use client::ClientError;
pub use client::OutgoingRequest;
pub use client::WholeAnswer;
pub use client::WholeRequest;
pub use client::get_json;
pub use client::post_json;
pub use client::read_body;
pub use client::request_whole;
pub use client::send;
pub use event_splitter::EventSplitter;
pub use event_splitter::WholeEvents;
pub use framing::body_framing;
pub use problem::problem_answer;
pub(crate) use problem::problem_document;
pub use server::ListenerHandle;
pub use server::ReadBodyError;
pub use server::RequestHandler;
pub use server::ServerLimits;
pub use server::json_answer;
pub use server::read_request_body;
pub use server::serve;
pub use server::serve_with_closures;
