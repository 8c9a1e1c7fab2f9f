import { readFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Either } from 'purify-ts';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import { adminChart } from '#admin/AdminChart.js';
import type { AdminCommand } from '#admin/AdminCommand.js';
import type { AdminContext } from '#admin/AdminContext.js';
import type { AdminMessage } from '#admin/AdminMessage.js';
import type { AdminOptions } from '#admin/AdminOptions.js';
import { adminRoutes } from '#admin/AdminRoutes.js';
import { handleAdminCall } from '#admin/HandleAdminCall.js';
import { describeError } from '#admin/DescribeError.js';
import { readAdminBody } from '#admin/ReadAdminBody.js';
import { sendReply } from '#admin/SendReply.js';

// Only operators and a metrics scraper connect. The limit keeps them from using up sockets that the request path needs.
const MAX_CONNECTIONS = 64;

// A client that sends slowly must not occupy one of these connections for long.
const REQUEST_TIMEOUT_MS = 10_000;

/** Serves the administration API on its own port. Post `start` to open it, and call `stop` to close it. */
export class AdminTask extends Task<AdminMessage> {
  private readonly backend: AdminBackend;
  private readonly options: AdminOptions;
  private readonly clock: Clock;
  private readonly logger = new Logger('admin');
  private server: Server | undefined;
  private snapshot: ChartSnapshot<AdminContext> = {
    value: adminChart.initial,
    context: { reply: () => undefined },
  };

  public constructor(backend: AdminBackend, options: AdminOptions, clock: Clock) {
    super();
    this.backend = backend;
    this.options = options;
    this.clock = clock;
  }

  /** Opens the server and resolves with its port, or with the error that prevented it. */
  public start(): Promise<Either<RouterError, number>> {
    return this.ask((reply) => ({ type: 'start', reply }));
  }

  /** Closes the server; requests in progress still get their responses. */
  public override stop(): void {
    this.receive({ type: 'stop' });
    super.stop();
  }

  protected override receive(message: AdminMessage): void {
    const step = advanceChart(adminChart, this.snapshot, message);
    this.snapshot = step.snapshot;
    if (message.type === 'failed')
      this.logger.log('adminFailed', { step: 'admin', error: message.error.message });
    for (const command of step.commands) this.perform(command);
  }

  private perform(command: AdminCommand): void {
    switch (command.type) {
      case 'open': {
        this.open();
        return;
      }
      case 'report': {
        command.reply(command.port);
        return;
      }
      case 'answer':
        return void this.answer(command.req, command.res);
      case 'close': {
        this.close();
        return;
      }
    }
  }

  private open(): void {
    try {
      const server = this.createServer();
      this.server = server;
      server.maxConnections = MAX_CONNECTIONS;
      server.on('request', (req, res) => this.post({ type: 'request', req, res }));
      server.on('error', (error) => this.post({ type: 'failed', error }));
      server.listen(this.options.port, this.options.host, () => {
        const address = server.address();
        const port = typeof address === 'object' && address !== null ? address.port : 0;
        this.post({ type: 'listening', port });
      });
    } catch (error) {
      this.post({ type: 'failed', error: error instanceof Error ? error : new Error(String(error)) });
    }
  }

  private createServer(): Server {
    const limits = { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS };
    const { tls } = this.options;
    if (tls === undefined) return createServer(limits);
    return createTlsServer({ ...limits, key: readFileSync(tls.keyFile), cert: readFileSync(tls.certFile) });
  }

  private close(): void {
    this.server?.close();
    this.server?.closeIdleConnections();
  }

  private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const result = await handleAdminCall(adminRoutes, this.backend, this.options.fleetKey, {
      method: req.method ?? '',
      target: req.url ?? '',
      authorization: req.headers.authorization ?? '',
      ifMatch: req.headers['if-match'] ?? '',
      nowMs: this.clock.wallMs(),
      readBody: () => readAdminBody(req),
    }).run();
    const peer = req.socket.remoteAddress ?? '';
    result.ifLeft((error) => this.logFailure(error, peer));
    result.ifRight(({ change }) => {
      if (change !== undefined) this.logger.log(change.event, { step: 'admin', peer, ...change.fields });
    });
    const reply = result.mapLeft(describeError).extract();
    if (!res.destroyed) sendReply(res, reply);
  }

  private logFailure(error: RouterError | Error, peer: string): void {
    const code = 'fields' in error ? error.fields.code : 'internal';
    this.logger.log('refused', { step: 'admin', peer, code, message: error.message });
  }
}
