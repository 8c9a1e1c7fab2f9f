import type { HolderState } from '#lease/HolderState.js';

/** Returns the holder without the nonce of a witness. An invalid nonce has the same effect as none. */
export function withoutNonce({ value, context }: HolderState, witness: string): HolderState {
  const links = context.links.map((link) => (link.witness === witness ? { ...link, nonce: '' } : link));
  return { value, context: { ...context, links } };
}
