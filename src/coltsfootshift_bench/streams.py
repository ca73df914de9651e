"""Measures the cost of streams over plain TCP, HMAC authentication and mutual TLS.

Also measures the traffic and processor time of idle streams:

python -m coltsfootshift_bench.streams compare --seed 1 --json streams.json
python -m coltsfootshift_bench.streams idle --seed 1 --json idle.json
"""

from __future__ import annotations

import datetime
import json as json_module
import multiprocessing
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import defopt
import psutil
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.protocols.basic import Int32StringReceiver

from coltsfootshift.ids import Purpose
from coltsfootshift.keys import KeyRing
from coltsfootshift.messages import Hello, LoadReport, Message
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import StreamTiming
from coltsfootshift.streams import PeerStream, StreamContext, StreamListener, StreamOwner
from coltsfootshift_bench.targets import Report

__all__ = ["main"]

TRANSPORTS = ("plain", "hmac", "tls")
CONNECTIONS = 200
MESSAGES = 10_000
MAX_RUN_SECONDS = 25.0
SETTLE_SECONDS = 6.0
IDLE_SECONDS = 30.0
IDLE_STREAMS = 32
PORT = 7400
KEY = "key-of-a-measurement-on-loopback"
HEADER_BYTES = 40
TIMESTAMP_BYTES = 12
ACKNOWLEDGEMENT_BYTES = HEADER_BYTES + TIMESTAMP_BYTES
REPORT = LoadReport(1, 0.25, 3, 4, 8, "d" * 32, True)


class _FrameProtocol(Int32StringReceiver):
    """A frame receiver that calls back when it has been opened and for each frame."""

    transport: Any

    def __init__(self, opened: Callable[[Any], None], received: Callable[[Any], None]) -> None:
        self._opened = opened
        self._received = received

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.sendString(b"hello")

    def stringReceived(self, string: bytes) -> None:
        if string == b"hello":
            self._opened(self)
            return
        self._received(self)


class _ClientFactory(ClientFactory):
    """A client factory for one connection, which uses the given protocol."""

    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol

    def buildProtocol(self, addr: Any) -> Protocol:
        return self._protocol


class _ServerFactory(Factory):
    """A server factory that makes a new protocol for each accepted connection."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self._make_protocol = make

    def buildProtocol(self, addr: Any) -> Protocol:
        return self._make_protocol()


class _CallbackOwner(StreamOwner):
    """Calls back when a stream has been opened and for each message received."""

    def __init__(self, opened: Callable[[Any], None], received: Callable[[Any], None]) -> None:
        self._opened = opened
        self._received = received

    def stream_opened(self, stream: PeerStream) -> None:
        self._opened(stream)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        self._received(stream)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        pass


class _Measurement:
    """Measures one transport: opens connections, then sends messages back and forth.

    Both ends run in this process, so that its processor time covers both.
    """

    def __init__(self, transport: str, connections: int, messages: int) -> None:
        from coltsfootshift.loop import reactor

        self.reactor = reactor
        self.transport = transport
        self.connections = connections
        self.messages = messages
        self.figures: dict[str, Any] = {"way": transport}
        self._opened = 0
        self._received = 0
        self._clients: list[Any] = []
        self._started = 0.0
        self._memory_before = 0
        self._host = "127.0.0.1"

    def run(self) -> dict[str, Any]:
        """Run the reactor until the end of the measurement and return the figures."""
        self._listen()
        self.reactor.callLater(0, self._start)
        self.reactor.callLater(MAX_RUN_SECONDS, self.reactor.stop)
        self.reactor.run()
        return self.figures

    def _start(self) -> None:
        self._memory_before = psutil.Process().memory_info().rss
        self._started = time.process_time()
        self._connect_one()

    def _listen(self) -> None:
        self._dial: Callable[[], None]
        if self.transport == "hmac":
            self._listen_hmac()
            return
        accepted = _ServerFactory(lambda: _FrameProtocol(_ignore, self._echo))
        if self.transport == "plain":
            self.reactor.listenTCP(PORT, accepted, interface=self._host)
            self._dial = lambda: self.reactor.connectTCP(
                self._host, PORT, self._make_client_factory()
            )
            return
        server, client = _make_tls_contexts()
        self.reactor.listenSSL(PORT, accepted, server, interface=self._host)
        self._dial = lambda: self.reactor.connectSSL(
            self._host, PORT, self._make_client_factory(), client
        )

    def _make_client_factory(self) -> Any:
        return _ClientFactory(_FrameProtocol(self._handle_opened, self._handle_received))

    def _listen_hmac(self) -> None:
        listening = _make_stream_context(self.reactor, "b")
        dialling = _make_stream_context(self.reactor, "a")
        listener = StreamListener(listening)
        listener.register(Purpose.CONTROL, _CallbackOwner(_ignore, self._echo))
        self.reactor.listenTCP(PORT, listener, interface=self._host)
        owner = _CallbackOwner(self._handle_opened, self._handle_received)

        def dial() -> None:
            stream = PeerStream(dialling, lambda hello: owner, Purpose.CONTROL, "b")
            self.reactor.connectTCP(self._host, PORT, _ClientFactory(stream))

        self._dial = dial

    def _connect_one(self) -> None:
        self._dial()

    def _handle_opened(self, stream: Any) -> None:
        self._clients.append(stream)
        if len(self._clients) < self.connections:
            self.reactor.callLater(0, self._connect_one)
            return
        used = time.process_time() - self._started
        self.figures["connection_milliseconds"] = round(used / self.connections * 1000, 3)
        self.reactor.callLater(0.2, self._start_messages)

    def _start_messages(self) -> None:
        grown = psutil.Process().memory_info().rss - self._memory_before
        self.figures["stream_end_kibibytes"] = round(grown / self.connections / 2 / 1024, 1)
        self._started = time.process_time()
        self._send(self._clients[0])

    def _echo(self, stream: Any) -> None:
        self._send(stream)

    def _handle_received(self, stream: Any) -> None:
        self._received += 1
        if self._received < self.messages:
            self._send(stream)
            return
        used = time.process_time() - self._started
        self.figures["message_there_and_back_microseconds"] = round(used / self.messages * 1e6, 2)
        self.reactor.stop()

    def _send(self, stream: Any) -> None:
        if self.transport == "hmac":
            stream.send(REPORT)
            return
        from coltsfootshift.codec import decode_message, encode_message

        frame = encode_message(REPORT)
        decode_message(frame)
        stream.sendString(frame)


def _ignore(stream: Any) -> None:
    pass


def _make_stream_context(
    reactor: Any, name: str, timing: StreamTiming | None = None
) -> StreamContext:
    def make_hello(purpose: Purpose) -> Hello:
        now = reactor.seconds()
        return Hello(name, f"{name}-1", "agent", purpose.value, "s", "north", "north-1", now)

    timing = timing or StreamTiming()
    return StreamContext(reactor, timing, Metrics(), make_hello, KeyRing.make(KEY))


def _make_tls_contexts() -> tuple[Any, Any]:
    """Return the server's and the client's TLS context.

    Both use the same self-signed elliptic-curve certificate.
    """
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec
    from twisted.internet import ssl

    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "fleet")])
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name)
    builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - datetime.timedelta(hours=1))
    builder = builder.not_valid_after(now + datetime.timedelta(days=1))
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    certificate = builder.sign(key, hashes.SHA256())
    text = certificate.public_bytes(serialization.Encoding.PEM)
    text += key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    certificate_pair = ssl.PrivateCertificate.loadPEM(text)
    root = ssl.Certificate.loadPEM(certificate.public_bytes(serialization.Encoding.PEM))
    server = certificate_pair.options(root)
    client = ssl.CertificateOptions(
        privateKey=certificate_pair.privateKey.original,
        certificate=certificate_pair.original,
        trustRoot=root,
    )
    return server, client


def _run_measurement(transport: str, connections: int, messages: int, results: Any) -> None:
    results.put(_Measurement(transport, connections, messages).run())


def compare(
    *,
    seed: int = 1,
    connections: int = CONNECTIONS,
    messages: int = MESSAGES,
    json: Path | None = None,
) -> None:
    """Compare plain TCP, HMAC authentication and mutual TLS, each in its own process.

    :param seed: written into the report; the run draws no random numbers of its own
    :param connections: number of streams, opened one after another and kept open
    :param messages: number of messages sent back and forth on one stream
    :param json: file to write the report to
    """
    rows = []
    for transport in TRANSPORTS:
        rows.append(_run_in_process(_run_measurement, transport, connections, messages))
        print(json_module.dumps(rows[-1]))
    Report(seed, {"ways": rows}, []).write(json)


def _run_in_process(call: Callable[..., None], *arguments: Any) -> dict[str, Any]:
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    process = context.Process(target=call, args=(*arguments, results))
    process.start()
    figures = results.get(timeout=MAX_RUN_SECONDS + 20)
    process.join()
    return figures


def _run_idle(streams: int, seconds: float, purpose: Purpose, results: Any) -> None:
    from coltsfootshift.loop import reactor

    listening = _make_stream_context(reactor, "b")
    dialling = _make_stream_context(reactor, "a")
    listener = StreamListener(listening)
    listener.register(purpose, _CallbackOwner(_ignore, _ignore))
    reactor.listenTCP(PORT, listener, interface="127.0.0.1")
    owner = _CallbackOwner(_ignore, _ignore)
    for _ in range(streams):
        stream = PeerStream(dialling, lambda hello: owner, purpose, "b")
        reactor.connectTCP("127.0.0.1", PORT, _ClientFactory(stream))
    before: dict[str, float] = {}

    def begin() -> None:
        before["messages"] = dialling.metrics.get_count("stream_messages_sent")
        before["bytes"] = dialling.metrics.get_count("stream_bytes_sent")
        before["processor"] = time.process_time()

    def end() -> None:
        sent = dialling.metrics.get_count("stream_bytes_sent") - before["bytes"]
        used = time.process_time() - before["processor"]
        payload = sent / streams / seconds
        messages = dialling.metrics.get_count("stream_messages_sent") - before["messages"]
        packets = messages / streams / seconds
        headers = (HEADER_BYTES + TIMESTAMP_BYTES + ACKNOWLEDGEMENT_BYTES) * packets
        results.put(
            {
                "streams": len(dialling.registry),
                "payload_bytes_per_second_each_way": round(payload, 2),
                "with_headers_bytes_per_second_each_way": round(payload + headers, 2),
                "processor_share_per_stream_end": round(used / seconds / streams / 2, 7),
            }
        )
        reactor.stop()

    reactor.callLater(SETTLE_SECONDS, begin)
    reactor.callLater(SETTLE_SECONDS + seconds, end)
    reactor.run()


def idle(
    *,
    seed: int = 1,
    streams: int = IDLE_STREAMS,
    seconds: float = IDLE_SECONDS,
    purpose: Purpose = Purpose.CONTROL,
    json: Path | None = None,
) -> None:
    """Measure idle streams: bytes per second each way and the processor share of one end.

    The size of headers is an estimate: 40 bytes of IP and TCP headers and 12 bytes of timestamps
    for each heartbeat, and the same for an acknowledgement, which is sent in a segment of its own.

    :param seed: written into the report; the run draws no random numbers of its own
    :param streams: number of idle streams
    :param seconds: duration of the measurement
    :param purpose: purpose of the streams; heartbeats of quiet work and weights streams slow down
    :param json: file to write the report to
    """
    figures = _run_in_process(_run_idle, streams, seconds, purpose)
    print(json_module.dumps(figures))
    Report(seed, figures, []).write(json)


def main() -> None:
    """Entry point of the `compare` and `idle` commands."""
    commands: dict[str, Callable[..., None]] = {"compare": compare, "idle": idle}
    defopt.run(commands, cli_options="all")


if __name__ == "__main__":
    main()
