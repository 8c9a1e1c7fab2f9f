import type { Socket } from 'node:net';
import type { CallerExchange } from '#mesh/CallerExchange.js';

/** Open exchanges by their number and, in the order of their requests, by connection. */
export class CallerExchangeTable {
  private readonly exchanges = new Map<number, CallerExchange>();
  private readonly numbersBySocket = new Map<Socket, ReadonlySet<number>>();

  public get size(): number {
    return this.exchanges.size;
  }

  /** Adds an exchange behind the others of its connection. */
  public add(exchange: CallerExchange): void {
    const { number, socket } = exchange;
    this.numbersBySocket.set(socket, new Set([...(this.numbersBySocket.get(socket) ?? []), number]));
    this.exchanges.set(number, exchange);
  }

  /** Replaces an exchange by its next state. */
  public update(exchange: CallerExchange): void {
    this.exchanges.set(exchange.number, exchange);
  }

  public remove({ number, socket }: CallerExchange): void {
    this.exchanges.delete(number);
    const remaining = new Set(this.numbersBySocket.get(socket));
    remaining.delete(number);
    if (remaining.size > 0) this.numbersBySocket.set(socket, remaining);
    else this.numbersBySocket.delete(socket);
  }

  public find(number: number): CallerExchange | undefined {
    return this.exchanges.get(number);
  }

  public list(): readonly CallerExchange[] {
    return [...this.exchanges.values()];
  }

  /** Returns the exchanges of a connection in the order of their requests. */
  public listOf(socket: Socket): readonly CallerExchange[] {
    return [...(this.numbersBySocket.get(socket) ?? [])].flatMap(
      (number) => this.exchanges.get(number) ?? [],
    );
  }

  /** Returns the exchange whose response is the next on a connection. */
  public findFirst(socket: Socket): CallerExchange | undefined {
    const [first = 0] = this.numbersBySocket.get(socket) ?? [];
    return this.exchanges.get(first);
  }

  /** Whether no later request has been read on the connection of an exchange. */
  public isLast({ number, socket }: CallerExchange): boolean {
    return [...(this.numbersBySocket.get(socket) ?? [])].every((other) => other <= number);
  }

  /** Whether a connection has no open exchange. */
  public isIdle(socket: Socket): boolean {
    return !this.numbersBySocket.has(socket);
  }

  /** Whether all open exchanges of a connection have their response. */
  public isWritingOnly(socket: Socket): boolean {
    return this.listOf(socket).every(({ cursor }) => cursor.state === 'responding');
  }
}
