import type { Dispatcher } from 'undici';
import type { ResponseListener } from '#proxy/ResponseListener.js';

/** Translates the callbacks of one undici request; remembers whether a byte of it may have been sent. */
export class ResponseHandler implements Dispatcher.DispatchHandler {
  private readonly listener: ResponseListener;
  private controller: Dispatcher.DispatchController | undefined;
  private cancelled = false;

  public constructor(listener: ResponseListener) {
    this.listener = listener;
  }

  /** Cancels the request; before it is sent, it is dropped without being sent. */
  public cancel(): void {
    this.cancelled = true;
    this.controller?.abort(new Error('cancelled'));
  }

  /** Ends a request whose answer is not to be used; it counts as broken. */
  public abort(reason: string): void {
    this.controller?.abort(new Error(reason));
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.cancelled) {
      controller.abort(new Error('cancelled'));
      return;
    }
    this.controller = controller;
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>, // eslint-disable-line no-restricted-syntax -- signature of undici
  ): void {
    this.listener.onHead(status, headers, {
      pause: () => controller.pause(),
      resume: () => controller.resume(),
    });
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.listener.onData(chunk);
  }

  public onResponseEnd(): void {
    this.listener.onEnd();
  }

  public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const sent = this.controller !== undefined;
    this.listener.onError(err, sent, this.cancelled);
  }
}
