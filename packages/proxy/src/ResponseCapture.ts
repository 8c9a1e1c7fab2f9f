import type { RecordedResponse } from '#once/RecordedResponse.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';

/** Collects the response of a non-repeatable request while it is streamed to the caller, up to a size limit. */
export class ResponseCapture {
  private readonly chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- accumulator of one response
  private bytes = 0;
  private head: ResponseHead | undefined;

  public constructor(private readonly maxBytes: number) {}

  /** Notes the head of the response. */
  public setHead(head: ResponseHead): void {
    this.head = head;
  }

  /** Adds a chunk of the body; beyond the size limit, chunks are only counted. */
  public add(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes <= this.maxBytes) this.chunks.push(chunk);
  }

  /** Returns the response to record; its body is left out if it exceeded the size limit. */
  public finish(): RecordedResponse {
    const complete = this.bytes <= this.maxBytes;
    return {
      bodyHash: '',
      status: this.head?.status ?? 0,
      contentType: this.head?.headers['content-type'] ?? '',
      body: complete ? Buffer.concat(this.chunks).toString('base64') : '',
      complete,
    };
  }
}
