import type { Announcement } from '#mesh/Announcement.js';
import { LoadFaults } from './LoadFaults.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Longest suspension of a VM; longer than a lease. */
const MAX_SUSPENSION_MS = 18_000;

/** Longest network partition between a backend server and its daemon, or between daemons. */
const MAX_PARTITION_MS = 9_000;

/** Longest time for which a running backend server refuses connections. */
const MAX_REFUSAL_MS = 2_500;

/** Longest delay of the withdrawal of a backend server. */
const MAX_WITHDRAWAL_DELAY_MS = 6_000;

/** Longest downtime or stall of a daemon: shorter or longer than its lease. */
const MAX_DOWNTIME_MS = 16_000;

const STORE_FAULT_MS = 2_000;

const KEYS = 65_536;

/** Adds simultaneous faults, false evidence, suspensions, clock drift and forged announcements. */
export class HarshFaults extends LoadFaults {
  public override readonly clockSpread: number = 0.02;

  protected override listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[] {
    const { random } = this;
    const domainVms = vms.filter(({ failureDomain }) => failureDomain === vm.failureDomain);
    return [
      ...super.listFaults(vm, other, vms, evacuate),
      () => vm.restartDaemon(random.integer(MAX_DOWNTIME_MS)),
      () => {
        for (const each of [vm, other]) each.restartDaemon(300 + random.integer(MAX_DOWNTIME_MS));
      },
      () => {
        vm.restartDaemon(300 + random.integer(1_500));
        vm.restartServer(300 + random.integer(3_000));
      },
      () => vm.stall(random.integer(MAX_DOWNTIME_MS)),
      () => vm.suspend(random.integer(MAX_SUSPENSION_MS)),
      () => vm.split(random.integer(MAX_PARTITION_MS)),
      () => vm.separate(random.integer(MAX_PARTITION_MS)),
      () => vm.setPath('mute', STORE_FAULT_MS),
      () => {
        for (const each of vms) each.setPath('late', random.integer(STORE_FAULT_MS));
      },
      () => vm.refuseConnections(random.integer(MAX_REFUSAL_MS)),
      () => vm.repeatAnnouncements(),
      () => vm.withdraw(random.integer(MAX_WITHDRAWAL_DELAY_MS)),
      () => vm.forge(this.createForgedAnnouncement(vm.id)),
      () => {
        const cutMs = random.integer(MAX_DOWNTIME_MS);
        for (const each of domainVms) {
          each.setPath('cut', cutMs);
          each.separate(cutMs);
        }
      },
    ];
  }

  /** Creates an announcement by another sender for a service that the daemon does not serve. */
  private createForgedAnnouncement(id: string): Announcement {
    const from = this.random.integer(KEYS);
    return {
      instanceId: this.random.integer(2) === 0 ? id : 'forger',
      bornMs: this.random.integer(KEYS),
      sequence: this.random.integer(KEYS),
      service: 'forged',
      address: 'forger:1',
      slots: 1,
      draining: this.random.integer(2) === 0,
      coldLeftMs: 0,
      holds: [{ from, to: from - 1, epoch: -1 }],
      released: [{ from: 0, to: KEYS - 1, handover: 'forged' }],
    };
  }
}
