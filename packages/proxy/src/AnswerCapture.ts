import type { OnceAnswer } from '#once/OnceAnswer.js';
import type { AnswerHead } from '#proxy/AnswerHead.js';

/** Collects the answer of a non-repeatable order while it streams to the caller, up to a bound. */
export class AnswerCapture {
  private readonly chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- accumulator of one answer
  private bytes = 0;
  private head: AnswerHead | undefined;

  public constructor(private readonly maxBytes: number) {}

  /** Notes the head of the answer. */
  public setHead(head: AnswerHead): void {
    this.head = head;
  }

  /** Adds a part of the body; parts beyond the bound are only counted. */
  public add(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes <= this.maxBytes) this.chunks.push(chunk);
  }

  /** Returns the answer to remember. */
  public finish(): OnceAnswer {
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
