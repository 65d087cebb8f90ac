//! RPC methods that a daemon serves to its peers.

use std::sync::{Arc, OnceLock};

use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Node, adapters, admission, claim, jobs, membership, placer, quota, seat, status};
use crate::protocol::peer::method;

/// The node, set once the peer listener's address is known.
pub type Context = Arc<OnceLock<Arc<Node>>>;

/// Builds the module of peer methods.
pub fn module(context: Context) -> RpcModule<Context> {
    let mut module = RpcModule::new(context);
    register(&mut module, claim::METHOD, |node, ask| async move {
        claim::answer(&node, &ask)
    });
    register(&mut module, method::ADAPTER, |node, ask| async move {
        adapters::answer(&node, &ask).await
    });
    register(&mut module, method::PEAK, |node, ask| async move {
        jobs::billing::handle(&node, &ask)
    });
    register(&mut module, method::DEMAND, |node, scope| async move {
        placer::demand::handle(&node, scope)
    });
    admission::register(&mut module);
    register(&mut module, method::GRANT, quota::answer);
    register(&mut module, method::HEARING, |node, params| async move {
        seat::hearing(&node, &params)
    });
    register(
        &mut module,
        method::HEARTBEAT,
        |node, heartbeat| async move { membership::answer(&node, heartbeat).await },
    );
    status::register(&mut module);
    module
}

/// Registers a method that takes one typed parameter.
pub fn register<P, R, F>(
    module: &mut RpcModule<Context>,
    name: &'static str,
    handler: impl Fn(Arc<Node>, P) -> F + Clone + Send + Sync + 'static,
) where
    P: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Future<Output = R> + Send + 'static,
{
    let registered = module.register_async_method(name, move |params, context, _| {
        let handler = handler.clone();
        async move {
            let param = params.one::<P>()?;
            let Some(node) = context.get() else {
                return Err(starting_error());
            };
            Ok::<R, ErrorObjectOwned>(handler(node.clone(), param).await)
        }
    });
    if let Err(error) = registered {
        spdlog::error!("rpc: method {name} cannot be registered: {error}");
    }
}

fn starting_error() -> ErrorObjectOwned {
    let message = "the daemon is starting";
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}
