/** Ends the reading of an answer; the message says what is wrong with it. */
export class MalformedResponseError extends Error {
  public constructor(message: string) {
    super(message);
    this.name = 'AnswerFault';
  }
}
