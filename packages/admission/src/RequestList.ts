import type { WaitingRequest } from '#admission/WaitingRequest.js';

class Node {
  public readonly request: WaitingRequest;
  public before: Node | undefined;
  public after: Node | undefined;

  public constructor(request: WaitingRequest, before: Node | undefined) {
    this.request = request;
    this.before = before;
  }
}

/**
 * Doubly linked list of waiting requests in the order of their arrival. All operations except `toArray` take constant
 * time. (Finding the first element of a `Set` is slower, since it skips the places of all elements deleted before it.)
 */
export class RequestList {
  private readonly nodes = new Map<string, Node>();
  private head: Node | undefined;
  private tail: Node | undefined;
  private sumMs = 0;

  public get size(): number {
    return this.nodes.size;
  }

  /** Sum of the expected service times, in milliseconds. */
  public get totalMs(): number {
    return this.sumMs;
  }

  public get first(): WaitingRequest | undefined {
    return this.head?.request;
  }

  public get last(): WaitingRequest | undefined {
    return this.tail?.request;
  }

  public add(request: WaitingRequest): void {
    const node = new Node(request, this.tail);
    if (this.tail === undefined) this.head = node;
    else this.tail.after = node;
    this.tail = node;
    this.nodes.set(request.id, node);
    this.sumMs += request.expectedMs;
  }

  /** Removes a request and returns whether it was in the list. */
  public remove(request: WaitingRequest): boolean {
    const node = this.nodes.get(request.id);
    if (node === undefined) return false;
    this.nodes.delete(request.id);
    if (node.before === undefined) this.head = node.after;
    else node.before.after = node.after;
    if (node.after === undefined) this.tail = node.before;
    else node.after.before = node.before;
    // Reset to zero when the list is empty, so that rounding errors do not accumulate.
    this.sumMs = this.nodes.size === 0 ? 0 : this.sumMs - request.expectedMs;
    return true;
  }

  public toArray(): readonly WaitingRequest[] {
    return Array.from(this.nodes.values(), ({ request }) => request);
  }
}
