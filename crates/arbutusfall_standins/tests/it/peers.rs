//! Connections between VMs: who is refused, and what becomes of one that goes silent.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::ListedVm;
use arbutusfall_standins::Fleet;
use arbutusfall_wire::Frame;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Sender;
use arbutusfall_wire::encode_frame;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::relay::Relay;
use crate::support::book;
use crate::support::counter;
use crate::support::program;
use crate::support::small_site;
use crate::turn;

const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Silence after which a connection is given up, and the time allowed for the next one.
const REPLACED_WITHIN: Duration = Duration::from_millis(5_000);

/// Connects to a peer address with a certificate, if any, and sends bytes on a stream of their own.
async fn send(address: SocketAddr, authority: &Path, own: Option<(&Path, &str)>, bytes: &[u8]) {
    let mut roots = RootCertStore::empty();
    let file = authority.join("authority.pem");
    roots
        .add(CertificateDer::from_pem_file(file).expect("a certificate"))
        .expect("an authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots);
    let mut config = match own {
        None => config.with_no_client_auth(),
        Some((dir, vm)) => {
            let chain = CertificateDer::from_pem_file(dir.join(format!("{vm}.pem")));
            let key = PrivateKeyDer::from_pem_file(dir.join(format!("{vm}-key.pem")));
            let chain = vec![chain.expect("a certificate")];
            config
                .with_client_auth_cert(chain, key.expect("a key"))
                .expect("a certificate and its key")
        }
    };
    config.alpn_protocols = vec![b"arbutusfall/1".to_vec()];
    let config = QuicClientConfig::try_from(config).expect("a QUIC configuration");
    let endpoint = Endpoint::client("127.0.0.1:0".parse().expect("an address"));
    let endpoint = endpoint.expect("a socket");
    let config = ClientConfig::new(Arc::new(config));
    let connecting = endpoint.connect_with(config, address, "milano-a-vm-0");
    let Ok(connection) = connecting.expect("a connection is tried").await else {
        return;
    };
    // The other side may refuse the certificate after the handshake seems complete.
    if let Ok(mut stream) = connection.open_uni().await {
        let _ = stream.write_all(bytes).await;
        let _ = stream.finish();
        let _ = stream.stopped().await;
    }
}

#[test]
fn certificates_that_are_not_the_deployments_are_refused_and_counted() {
    let _turn = turn::take();
    let fleet = Fleet::start(program(), &small_site(), 1).expect("a fleet");
    let address = fleet.vms[0].settings.peer_address;
    let foreign = fleet.dir.join("foreign");
    arbutusfall::make_authority(&foreign, DAY).expect("an authority");
    arbutusfall::make_vm_certificate(&foreign, "other", DAY).expect("a certificate");
    arbutusfall::make_vm_certificate(&fleet.dir, "old", Duration::ZERO).expect("a certificate");
    arbutusfall::make_vm_certificate(&fleet.dir, "other", DAY).expect("a certificate");
    let frame = |vm: &str| {
        let sender = Sender {
            vm: vm.into(),
            incarnation: Incarnation(1),
        };
        encode_frame(&Frame {
            sender,
            messages: Vec::new(),
        })
        .expect("a frame")
    };
    let own = frame("other");
    let forged = frame("milano-a-vm-0");
    let dir = fleet.dir.as_path();
    let failed = "peers.connections_failed";
    let cases = [
        (format!("{failed}.missing_certificate"), None, &own[..]),
        (
            format!("{failed}.foreign_certificate"),
            Some((&*foreign, "other")),
            &own,
        ),
        (
            format!("{failed}.expired_certificate"),
            Some((dir, "old")),
            &own,
        ),
        (
            "peers.frames_forged".to_owned(),
            Some((dir, "other")),
            &forged,
        ),
        (
            "peers.frames_rejected".to_owned(),
            Some((dir, "other")),
            b"\xff\xff\xff",
        ),
    ];
    for (name, certificate, bytes) in cases {
        let counted = || {
            fleet.block_on(send(address, dir, certificate, bytes));
            counter(&fleet, 0, &name) > 0
        };
        fleet.wait_for(&name, counted).expect("it is counted");
    }
    assert_eq!(counter(&fleet, 0, &format!("{failed}.handshake")), 0);
}

/// Tells all VMs that the second one is at `address`.
fn list_second_at(fleet: &Fleet, address: SocketAddr) {
    let list: Vec<ListedVm> = fleet
        .vms
        .iter()
        .enumerate()
        .map(|(index, vm)| ListedVm {
            vm: vm.settings.vm.clone(),
            peer_address: if index == 1 {
                address
            } else {
                vm.settings.peer_address
            },
            data_centre: vm.settings.data_centre.clone(),
            site: vm.settings.site.clone(),
            leaving: false,
        })
        .collect();
    fleet
        .post(fleet.vm_list.address, "/vms", &list)
        .expect("the list is set");
}

#[test]
fn silent_peer_connection_is_replaced() {
    let _turn = turn::take();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("a fleet");
    let relay = Relay::start(fleet.vms[1].settings.peer_address);
    list_second_at(&fleet, relay.address);
    let relayed = || book(&fleet, 0).is_some() && relay.replies() > 20;
    fleet
        .wait_for("the relay is used", relayed)
        .expect("the relay is used");
    relay.lose_track();
    let silent = Instant::now();
    let replaced = || book(&fleet, 0).is_some() && relay.replies() > 20;
    fleet
        .wait_for("a new connection", replaced)
        .expect("a new connection");
    let took = silent.elapsed();
    println!("replaced after {took:.1?}");
    assert!(took < REPLACED_WITHIN, "replaced after {took:?}");
    assert!(counter(&fleet, 0, "peers.connections_failed.timeout") > 0);
}

/// Time over which a quiet link is measured.
const QUIET: Duration = Duration::from_secs(3);

#[test]
fn a_quiet_link_costs_little() {
    let _turn = turn::take();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("a fleet");
    let relay = Relay::start(fleet.vms[1].settings.peer_address);
    list_second_at(&fleet, relay.address);
    let relayed = || book(&fleet, 0).is_some() && relay.replies() > 20;
    fleet
        .wait_for("the relay is used", relayed)
        .expect("the relay is used");
    let sent = counter(&fleet, 0, "peers.bytes_sent");
    let opening = relay.bytes();
    std::thread::sleep(QUIET);
    let per_s = (relay.bytes() - opening) as f64 / QUIET.as_secs_f64();
    let frames = counter(&fleet, 0, "peers.bytes_sent") - sent;
    println!("one direction's link: {per_s:.0} B/s of packets, {frames} B of frames in {QUIET:?}");
    assert!(per_s < 1_000.0, "{per_s} B/s");
}

#[test]
fn restarted_vm_is_reached_at_its_new_address() {
    let _turn = turn::take();
    let mut fleet = Fleet::start(program(), &small_site(), 2).expect("a fleet");
    fleet.vms[1].process.kill();
    let mut settings = fleet.vms[1].settings.clone();
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    settings.peer_address = socket.local_addr().expect("an address");
    drop(socket);
    fleet.vms[1] = fleet.start_vm(settings).expect("the VM starts");
    fleet.set_vm_list(&[]).expect("the list is set");
    fleet.wait_ready(&fleet.vms[1]).expect("the VM is ready");
    let reached = || book(&fleet, 0).is_some() && counter(&fleet, 1, "peers.bytes_received") > 0;
    fleet
        .wait_for("the VM is reached", reached)
        .expect("the VM is reached");
}
