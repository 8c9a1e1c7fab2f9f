import type { Dispatcher } from 'undici';
import type { ResponseListener } from '#proxy/ResponseListener.js';

const FIRST_FINAL_STATUS = 200;
/** Undici limits the size of each interim response but not their number. */
const MAX_INTERIM_RESPONSES = 64;

/**
 * Translates the undici callbacks of one request for its listener, and notes whether a byte of it may have been sent.
 */
export class ResponseHandler implements Dispatcher.DispatchHandler {
  private readonly listener: ResponseListener;
  private controller: Dispatcher.DispatchController | undefined;
  private cancelled = false;
  private interimCount = 0;

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
    if (status < FIRST_FINAL_STATUS) {
      this.countInterim(controller);
      return;
    }
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

  private countInterim(controller: Dispatcher.DispatchController): void {
    this.interimCount += 1;
    if (this.interimCount > MAX_INTERIM_RESPONSES) controller.abort(new Error('too many interim responses'));
  }
}
