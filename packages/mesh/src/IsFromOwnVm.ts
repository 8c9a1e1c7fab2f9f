import type { Socket } from 'node:net';

const IPV4_IN_IPV6 = '::ffff:';

/** Addresses that any process of a machine has, and that tell nothing about a VM. */
const LOOPBACK: ReadonlySet<string> = new Set(['', '127.0.0.1', '::1']);

/** Whether a connection comes from the VM of this daemon, by its addresses. */
export function isFromOwnVm({
  remoteAddress,
  localAddress,
}: Pick<Socket, 'remoteAddress' | 'localAddress'>): boolean {
  const remote = (remoteAddress ?? '').replace(IPV4_IN_IPV6, '');
  return !LOOPBACK.has(remote) && remote === (localAddress ?? '').replace(IPV4_IN_IPV6, '');
}
