/** Thrown while a response is read; the message describes the fault. */
export class MalformedResponseError extends Error {
  public constructor(message: string) {
    super(message);
    this.name = 'AnswerFault';
  }
}
