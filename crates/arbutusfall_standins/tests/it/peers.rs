//! Connections between VMs: refused certificates and frames, silent connections, bandwidth and changed addresses.

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

use crate::fleet_lock;
use crate::support::counter;
use crate::support::program;
use crate::support::send_booking;
use crate::support::small_site;
use crate::udp_proxy::UdpProxy;

/// Lifetime of the test's certificates.
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Longest time until a silent connection is replaced: the silence after which it is closed, plus the time allowed for
/// the next connection.
const REPLACEMENT_BOUND: Duration = Duration::from_millis(5_000);

/// Opens a QUIC connection to `address` and sends `bytes` on a new stream. `certificate` is the directory and VM name
/// of the client certificate, if any.
async fn connect_and_send(
    address: SocketAddr,
    authority_dir: &Path,
    certificate: Option<(&Path, &str)>,
    bytes: &[u8],
) {
    let mut roots = RootCertStore::empty();
    let file = authority_dir.join("authority.pem");
    roots
        .add(CertificateDer::from_pem_file(file).expect("a certificate"))
        .expect("an authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots);
    let mut config = match certificate {
        None => config.with_no_client_auth(),
        Some((dir, vm_name)) => {
            let chain = CertificateDer::from_pem_file(dir.join(format!("{vm_name}.pem")));
            let key = PrivateKeyDer::from_pem_file(dir.join(format!("{vm_name}-key.pem")));
            let chain = vec![chain.expect("a certificate")];
            config
                .with_client_auth_cert(chain, key.expect("a key"))
                .expect("a certificate and its key")
        }
    };
    config.alpn_protocols = vec![b"arbutusfall/1".to_vec()];
    let config = QuicClientConfig::try_from(config).expect("a QUIC configuration");
    let endpoint = Endpoint::client("127.0.0.1:0".parse().expect("an address"));
    let endpoint = endpoint.expect("the socket is bound");
    let config = ClientConfig::new(Arc::new(config));
    // `address` belongs to VM 0, whose certificate must be issued to this name.
    let connecting = endpoint.connect_with(config, address, "milano-a-vm-0");
    let Ok(connection) = connecting.expect("a connection is tried").await else {
        return;
    };
    // The VM may refuse the certificate after the handshake seems complete to the client.
    if let Ok(mut stream) = connection.open_uni().await {
        let _ = stream.write_all(bytes).await;
        let _ = stream.finish();
        let _ = stream.stopped().await;
    }
}

#[test]
fn invalid_certificates_and_frames_are_refused_and_counted() {
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 1).expect("the fleet starts");
    let address = fleet.vms[0].settings.peer_address;
    let foreign = fleet.dir.join("foreign");
    arbutusfall::make_authority(&foreign, DAY).expect("an authority");
    arbutusfall::make_vm_certificate(&foreign, "other", DAY).expect("a certificate");
    arbutusfall::make_vm_certificate(&fleet.dir, "expired", Duration::ZERO).expect("a certificate");
    arbutusfall::make_vm_certificate(&fleet.dir, "other", DAY).expect("a certificate");
    let frame = |vm_name: &str| {
        let sender = Sender {
            vm: vm_name.into(),
            incarnation: Incarnation(1),
        };
        encode_frame(&Frame {
            sender,
            messages: Vec::new(),
        })
        .expect("the frame is encoded")
    };
    let valid = frame("other");
    let forged = frame("milano-a-vm-0");
    let dir = fleet.dir.as_path();
    let failed_prefix = "peers.connections_failed";
    let cases = [
        (
            format!("{failed_prefix}.missing_certificate"),
            None,
            &valid[..],
        ),
        (
            format!("{failed_prefix}.foreign_certificate"),
            Some((&*foreign, "other")),
            &valid,
        ),
        (
            format!("{failed_prefix}.expired_certificate"),
            Some((dir, "expired")),
            &valid,
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
            fleet.block_on(connect_and_send(address, dir, certificate, bytes));
            counter(&fleet, 0, &name) > 0
        };
        fleet
            .wait_for(&name, counted)
            .expect("the refusal is counted");
    }
    assert_eq!(counter(&fleet, 0, &format!("{failed_prefix}.handshake")), 0);
}

/// Sets the VM list so that the second VM is at `address`.
fn set_address_of_second_vm(fleet: &Fleet, address: SocketAddr) {
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
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    let proxy = UdpProxy::start(fleet.vms[1].settings.peer_address);
    set_address_of_second_vm(&fleet, proxy.address);
    let proxied = || send_booking(&fleet, 0).is_some() && proxy.replies_in_open_flows() > 20;
    fleet
        .wait_for("replies through the proxy", proxied)
        .expect("the VM uses the listed address");
    proxy.block_existing_flows();
    let blocked_at = Instant::now();
    let replaced = || send_booking(&fleet, 0).is_some() && proxy.replies_in_open_flows() > 20;
    fleet
        .wait_for("replies on a new connection", replaced)
        .expect("the silent connection is replaced");
    let took = blocked_at.elapsed();
    println!("replaced after {took:.1?}");
    assert!(took < REPLACEMENT_BOUND, "replaced after {took:?}");
    assert!(counter(&fleet, 0, "peers.connections_failed.timeout") > 0);
}

/// Time over which the traffic of an idle connection is measured.
const MEASURED_TIME: Duration = Duration::from_secs(3);

#[test]
fn idle_peer_connection_uses_little_bandwidth() {
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    let proxy = UdpProxy::start(fleet.vms[1].settings.peer_address);
    set_address_of_second_vm(&fleet, proxy.address);
    let proxied = || send_booking(&fleet, 0).is_some() && proxy.replies_in_open_flows() > 20;
    fleet
        .wait_for("replies through the proxy", proxied)
        .expect("the VM uses the listed address");
    let frame_bytes_before = counter(&fleet, 0, "peers.bytes_sent");
    let bytes_before = proxy.bytes();
    std::thread::sleep(MEASURED_TIME);
    let bytes_per_s = (proxy.bytes() - bytes_before) as f64 / MEASURED_TIME.as_secs_f64();
    let frame_bytes = counter(&fleet, 0, "peers.bytes_sent") - frame_bytes_before;
    println!(
        "connection from VM 0: {bytes_per_s:.0} B/s of packets, {frame_bytes} B of frames in {MEASURED_TIME:?}"
    );
    assert!(bytes_per_s < 1_000.0, "{bytes_per_s} B/s");
}

#[test]
fn restarted_vm_is_reached_at_its_new_address() {
    let _lock = fleet_lock::acquire();
    let mut fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    fleet.vms[1].process.kill();
    let mut settings = fleet.vms[1].settings.clone();
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
    settings.peer_address = socket.local_addr().expect("an address");
    drop(socket);
    fleet.vms[1] = fleet.start_vm(settings).expect("the VM starts");
    fleet.set_vm_list(&[]).expect("the list is set");
    fleet.wait_ready(&fleet.vms[1]).expect("the VM is ready");
    let reached =
        || send_booking(&fleet, 0).is_some() && counter(&fleet, 1, "peers.bytes_received") > 0;
    fleet
        .wait_for("bytes received by the restarted VM", reached)
        .expect("the VM is reached at its new address");
}
