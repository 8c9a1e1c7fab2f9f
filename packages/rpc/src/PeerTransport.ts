import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { randomBytes } from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import {
  JSONRPCClient,
  JSONRPCServer,
  createJSONRPCNotification,
  isJSONRPCResponse,
  type JSONRPCParams,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { Left, Right, type Either } from 'purify-ts';
import { Agent } from 'undici';
import type { Cancel } from '#core/Cancel.js';
import { describeFault } from '#core/DescribeFault.js';
import { RouterError } from '#core/RouterError.js';
import type { CallOptions } from '#rpc/CallOptions.js';
import { computeMac } from '#rpc/ComputeMac.js';
import { decodeDatagram } from '#rpc/DecodeDatagram.js';
import { encodeDatagram } from '#rpc/EncodeDatagram.js';
import type { Envelope } from '#rpc/Envelope.js';
import { isSameMac } from '#rpc/IsSameMac.js';
import type { LinkCuts } from '#rpc/LinkCuts.js';
import { packMessage } from '#rpc/PackMessage.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { PeerTransportOptions } from '#rpc/PeerTransportOptions.js';
import { ReplayGuard } from '#rpc/ReplayGuard.js';
import type { RpcHandler } from '#rpc/RpcHandler.js';
import { Transport } from '#rpc/Transport.js';
import type { TransportPorts } from '#rpc/TransportPorts.js';
import type { TransportStats } from '#rpc/TransportStats.js';
import { unpackMessage } from '#rpc/UnpackMessage.js';

/** Fits an Ethernet frame together with the IP and UDP headers, so that no datagram is fragmented. */
const MAX_DATAGRAM_BYTES = 1_400;
/** Covers the largest value of the store, and so the largest cell or catalogue. */
const MAX_BODY_BYTES = 1_100_000;
/** Result of a handler whose caller gets no reply; json-rpc-2.0 turns an undefined result into a reply. */
const NO_REPLY = Symbol('noReply');
const NO_CUTS: LinkCuts = { to: new Set(), from: new Set() };

/** A call by datagram that waits for its reply. */
interface PendingCall {
  readonly from: string;
  readonly cancel: Cancel;
}

/** Data of one call that json-rpc-2.0 passes to the sending function. */
interface CallContext {
  readonly peer: PeerAddress;
  readonly options: CallOptions;
  /** Reports why sending failed or no signed reply arrived, because json-rpc-2.0 keeps only the message of an error. */
  readonly fail: (err: RouterError) => void;
}

/** Signed JSON-RPC between daemons: UDP for small messages, HTTP `POST /rpc` for large ones. */
export class PeerTransport extends Transport {
  private readonly options: PeerTransportOptions;
  private readonly socket: Socket;
  private readonly server: Server;
  private readonly agent = new Agent({ connections: 2, keepAliveTimeout: 10_000 });
  private readonly rpcServer = new JSONRPCServer<string>({ errorListener: () => undefined });
  private readonly rpcClient: JSONRPCClient<CallContext>;
  private readonly guard = new ReplayGuard();
  private readonly pendingCalls = new Map<string, PendingCall>();
  private ownAddress = '';
  private cuts: LinkCuts = NO_CUTS;
  private requestListener: RequestListener = (_, res) => void res.writeHead(404).end();
  private stats: TransportStats = { datagramsSent: 0, bytesSent: 0, datagramsReceived: 0, rejected: 0 };
  private stopped = false;

  public constructor(options: PeerTransportOptions) {
    super();
    this.options = options;
    this.socket = createSocket('udp4');
    this.socket.on('message', (datagram, source) => {
      this.receiveDatagram(datagram, source).catch((err: unknown) => this.logMalformed(source.address, err));
    });
    this.socket.on('error', (err) =>
      this.options.logger.log('udpError', { step: 'rpc', error: err.message }),
    );
    this.server = createServer((req, res) => {
      if (req.url === '/rpc')
        this.receivePost(req, res).catch((err: unknown) => {
          this.logMalformed(req.socket.remoteAddress ?? '', err);
          req.socket.destroy();
        });
      else this.requestListener(req, res);
    });
    this.rpcClient = new JSONRPCClient(
      (payload, context) => this.sendRequest(payload as JSONRPCRequest, context),
      () => randomBytes(4).toString('base64url'),
    );
  }

  public override async start(): Promise<TransportPorts> {
    const { host, peerPort, udpPort } = this.options;
    await Promise.all([
      new Promise<void>((resolve, reject) => {
        this.server.once('error', reject).listen(peerPort, host, resolve);
      }),
      new Promise<void>((resolve) => this.socket.bind(udpPort, host, resolve)),
    ]);
    const ports = {
      peerPort: (this.server.address() as AddressInfo).port,
      udpPort: this.socket.address().port,
    };
    this.ownAddress = `${host}:${ports.peerPort}`;
    return ports;
  }

  public override async stop(): Promise<void> {
    if (this.stopped) return;
    this.stopped = true;
    for (const { cancel } of this.pendingCalls.values()) cancel();
    this.rpcClient.rejectAllPendingRequests('stopped');
    this.socket.close();
    this.server.closeAllConnections();
    await Promise.all([this.agent.destroy(), new Promise((resolve) => this.server.close(resolve))]);
  }

  public override handle(method: string, handler: RpcHandler): void {
    this.rpcServer.addMethod(method, async (params, from) => (await handler(params, from)) ?? NO_REPLY);
  }

  public override async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    options: CallOptions,
  ): Promise<Either<RouterError, unknown>> {
    if (this.stopped) return Left(this.createError('peerSilent', peer, 'the transport is stopped'));
    let failure: RouterError | undefined;
    const fail = (err: RouterError): void => void (failure = err);
    try {
      const client = this.rpcClient.timeout(options.timeoutMs);
      return Right(await client.request(method, params as JSONRPCParams, { peer, options, fail }));
    } catch (err) {
      return Left(failure ?? this.classifyError(peer, err));
    }
  }

  public override notify(peer: PeerAddress, method: string, params: unknown): void {
    const to = formatPeer(peer);
    if (this.stopped || this.cuts.to.has(to)) return;
    const payload = packMessage(createJSONRPCNotification(method, params as JSONRPCParams));
    const datagram = encodeDatagram(this.options.fleetKey, this.createEnvelope(to, payload));
    if (datagram.length <= MAX_DATAGRAM_BYTES) this.sendDatagram(datagram, peer.host, peer.udpPort);
    else this.options.logger.log('notificationTooLarge', { step: 'rpc', peer: to, method });
  }

  /** Sets the listener for HTTP requests on the peer port other than `/rpc`; without one they get 404. */
  public setRequestListener(listener: RequestListener): void {
    this.requestListener = listener;
  }

  /** Cuts links for failure tests; replaces earlier cuts. */
  public cutLinks(cuts: Partial<LinkCuts>): void {
    this.cuts = { ...NO_CUTS, ...cuts };
  }

  /** Returns the message counters. */
  public readStats(): TransportStats {
    return this.stats;
  }

  private async sendRequest(payload: JSONRPCRequest, context: CallContext): Promise<void> {
    const { peer, options } = context;
    const to = formatPeer(peer);
    if (this.cuts.to.has(to)) return;
    if (options.channel === 'http') {
      await this.postRequest(this.createEnvelope(to, JSON.stringify(payload)), context);
      return;
    }
    const envelope = this.createEnvelope(to, packMessage(payload));
    const datagram = encodeDatagram(this.options.fleetKey, envelope);
    if (datagram.length > MAX_DATAGRAM_BYTES) {
      const message = `${payload.method} has ${datagram.length} bytes`;
      context.fail(this.createError('messageTooLarge', peer, message));
      throw new Error(message);
    }
    const id = String(payload.id);
    const cancel = this.options.clock.schedule(options.timeoutMs, () => this.pendingCalls.delete(id));
    this.pendingCalls.set(id, { from: to, cancel });
    this.sendDatagram(datagram, peer.host, peer.udpPort);
  }

  private sendDatagram(datagram: Buffer, host: string, port: number): void {
    if (this.stopped) return;
    const { datagramsSent, bytesSent } = this.stats;
    this.stats = {
      ...this.stats,
      datagramsSent: datagramsSent + 1,
      bytesSent: bytesSent + datagram.length,
    };
    try {
      this.socket.send(datagram, port, host, () => undefined);
    } catch (err) {
      // An invalid port makes `send` throw. The caller treats this like a datagram that is lost.
      this.logMalformed(`${host}:${port}`, err);
    }
  }

  private async receiveDatagram(datagram: Buffer, source: RemoteInfo): Promise<void> {
    this.stats = { ...this.stats, datagramsReceived: this.stats.datagramsReceived + 1 };
    const envelope = decodeDatagram(this.options.fleetKey, datagram);
    if (envelope === undefined || !this.isAddressedToSelf(envelope)) {
      this.countRejected(source.address);
      return;
    }
    if (this.cuts.from.has(envelope.from)) return;
    const message = unpackMessage(envelope.payload);
    if (isJSONRPCResponse(message)) {
      this.acceptReply(message, envelope);
      return;
    }
    const signature = datagram.toString('base64', 0, 16);
    if (!this.guard.accept(signature, envelope.sentAtMs, this.options.clock.wallMs())) {
      this.countRejected(envelope.from);
      return;
    }
    const reply = await this.dispatch(message, envelope.from);
    if (reply === undefined || this.cuts.to.has(envelope.from)) return;
    const replyDatagram = encodeDatagram(
      this.options.fleetKey,
      this.createEnvelope(envelope.from, packMessage(reply)),
    );
    this.sendDatagram(replyDatagram, source.address, source.port);
  }

  private acceptReply(message: JSONRPCResponse, envelope: Envelope): void {
    const id = String(message.id);
    const expected = this.pendingCalls.get(id);
    if (expected?.from !== envelope.from) return;
    expected.cancel();
    this.pendingCalls.delete(id);
    this.rpcClient.receive(message);
  }

  private async dispatch(message: JSONRPCRequest, from: string): Promise<JSONRPCResponse | undefined> {
    const reply = await this.rpcServer.receive(message, from);
    if (reply === null || reply.result === NO_REPLY) return undefined;
    return reply;
  }

  private async postRequest(envelope: Envelope, context: CallContext): Promise<void> {
    const { peer, options } = context;
    const mac = this.signHttpMessage(envelope, '');
    try {
      const res = await this.agent.request({
        origin: `http://${peer.host}:${peer.peerPort}`,
        path: '/rpc',
        method: 'POST',
        headers: {
          'amr-from': envelope.from,
          'amr-to': envelope.to,
          'amr-time': String(envelope.sentAtMs),
          'amr-mac': mac,
        },
        body: envelope.payload,
        signal: AbortSignal.timeout(options.timeoutMs),
      });
      const payload = await res.body.text();
      const from = String(res.headers['amr-from']);
      const reply: Envelope = { from, to: envelope.from, sentAtMs: envelope.sentAtMs, payload };
      const signature = String(res.headers['amr-mac']);
      if (!isSameMac(Buffer.from(signature), Buffer.from(this.signHttpMessage(reply, mac)))) {
        this.countRejected(envelope.to);
        throw new Error(`unsigned reply with status ${res.statusCode}`);
      }
      if (this.cuts.from.has(from)) throw new Error('the link is cut');
      this.rpcClient.receive(JSON.parse(payload) as JSONRPCResponse);
    } catch (err) {
      context.fail(this.createError('peerSilent', peer, String(err), err));
      throw err;
    }
  }

  private async receivePost(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const size = Number(req.headers['content-length'] ?? Number.POSITIVE_INFINITY);
    if (req.method !== 'POST' || size > MAX_BODY_BYTES) {
      res.writeHead(413).end();
      return;
    }
    const envelope: Envelope = {
      from: String(req.headers['amr-from']),
      to: String(req.headers['amr-to']),
      sentAtMs: Number(req.headers['amr-time']),
      payload: await text(req),
    };
    const mac = this.signHttpMessage(envelope, '');
    const isSigned = isSameMac(Buffer.from(String(req.headers['amr-mac'])), Buffer.from(mac));
    const accepted =
      isSigned &&
      this.isAddressedToSelf(envelope) &&
      this.guard.accept(mac, envelope.sentAtMs, this.options.clock.wallMs());
    if (!accepted) {
      this.countRejected(envelope.from);
      res.writeHead(403).end();
      return;
    }
    if (this.isCut(envelope.from)) {
      req.socket.destroy();
      return;
    }
    const response = await this.dispatch(JSON.parse(envelope.payload) as JSONRPCRequest, envelope.from);
    if (response === undefined || this.isCut(envelope.from)) {
      req.socket.destroy();
      return;
    }
    const from = this.options.serverId;
    const payload = JSON.stringify(response);
    const reply: Envelope = { from, to: envelope.from, sentAtMs: envelope.sentAtMs, payload };
    res.writeHead(200, { 'amr-from': from, 'amr-mac': this.signHttpMessage(reply, mac) }).end(payload);
  }

  /** The signature of a reply covers that of its request, so that the reply cannot be used for another request. */
  private signHttpMessage(envelope: Envelope, requestMac: string): string {
    const { from, to, sentAtMs, payload } = envelope;
    const signed = `rpc\n${JSON.stringify([from, to, sentAtMs, requestMac])}\n${payload}`;
    return computeMac(this.options.fleetKey, signed).toString('hex');
  }

  private createEnvelope(to: string, payload: string): Envelope {
    const sentAtMs = Math.round(this.options.clock.wallMs());
    return { from: this.options.serverId, to, sentAtMs, payload };
  }

  private isAddressedToSelf(envelope: Envelope): boolean {
    return envelope.to === this.options.serverId || envelope.to === this.ownAddress;
  }

  private isCut(serverId: string): boolean {
    return this.cuts.from.has(serverId) || this.cuts.to.has(serverId);
  }

  private countRejected(peer: string): void {
    this.stats = { ...this.stats, rejected: this.stats.rejected + 1 };
    this.options.logger.log('messageRejected', { step: 'rpc', peer });
  }

  /** Logs a message that was cut off, that this daemon cannot decode, or that cannot be sent to its address. */
  private logMalformed(peer: string, err: unknown): void {
    this.options.logger.log('messageMalformed', { ...describeFault(err), step: 'rpc', peer });
  }

  private classifyError(peer: PeerAddress, err: unknown): RouterError {
    const message = err instanceof Error ? err.message : String(err);
    return this.createError(message === 'Request timeout' ? 'peerSilent' : 'peerRefused', peer, message, err);
  }

  private createError(code: string, peer: PeerAddress, message: string, cause?: unknown): RouterError {
    return new RouterError(
      { code, step: 'rpc', peer: formatPeer(peer), ran: 'not run', status: 502 },
      message,
      cause,
    );
  }
}

function formatPeer(peer: PeerAddress): string {
  return peer.serverId === '' ? `${peer.host}:${peer.peerPort}` : peer.serverId;
}
