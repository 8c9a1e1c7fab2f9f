import type { RecordedResponse } from '#once/RecordedResponse.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';

/** Collects the answer of a non-repeatable order while it streams to the caller, up to a bound. */
export class ResponseCapture {
  private readonly chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- accumulator of one answer
  private bytes = 0;
  private head: ResponseHead | undefined;

  public constructor(private readonly maxBytes: number) {}

  /** Notes the head of the answer. */
  public setHead(head: ResponseHead): void {
    this.head = head;
  }

  /** Adds a part of the body; parts beyond the bound are only counted. */
  public add(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes <= this.maxBytes) this.chunks.push(chunk);
  }

  /** Returns the answer to remember. */
  public finish(): RecordedResponse {
    const complete = this.bytes <= this.maxBytes;
    return {
      bodyHash: '',
      status: this.head?.status ?? 0,
      contentType: this.head?.headers['content-type'] ?? '',
      answer: complete ? Buffer.concat(this.chunks).toString('base64') : '',
      complete,
    };
  }
}
