import type { OrderResult } from '#mesh/OrderResult.js';

/** Receives the result of an order, once. */
export type OrderReply = (result: OrderResult) => void;
