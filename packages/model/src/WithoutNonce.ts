import type { HolderState } from '#lease/HolderState.js';

/** Returns the holder without the nonce of a witness. A nonce that is no longer valid has the effect of none. */
export function withoutNonce({ value, context }: HolderState, witness: string): HolderState {
  const links = context.links.map((link) => (link.witness === witness ? { ...link, nonce: '' } : link));
  return { value, context: { ...context, links } };
}
