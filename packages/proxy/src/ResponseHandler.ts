import type { Dispatcher } from 'undici';
import type { ResponseListener } from '#proxy/ResponseListener.js';

const FIRST_FINAL_STATUS = 200;

/**
 * Translates the undici callbacks of one request for its listener, and notes whether a byte of it may have been sent.
 */
export class ResponseHandler implements Dispatcher.DispatchHandler {
  private readonly listener: ResponseListener;
  private controller: Dispatcher.DispatchController | undefined;
  private cancelled = false;

  public constructor(listener: ResponseListener) {
    this.listener = listener;
  }

  /** Cancels the request. A request that still waits for a connection is never sent. */
  public cancel(): void {
    this.cancelled = true;
    this.controller?.abort(new Error('cancelled'));
  }

  /** Aborts a request whose response must not be used; the listener gets an error. */
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
    // Undici also reports interim responses, which are no head of the response.
    if (status < FIRST_FINAL_STATUS) return;
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
