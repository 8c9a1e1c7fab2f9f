import type { Announcement } from '#mesh/Announcement.js';
import { LoadFaults } from './LoadFaults.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** A VM may be suspended for longer than its lease lasts, in milliseconds. */
const LONGEST_SUSPENSION_MS = 18_000;

/** Time between a backend server and its daemon, or between daemons, without contact, in milliseconds. */
const LONGEST_SPLIT_MS = 9_000;

/** Time for which a living backend server may take no connections, in milliseconds. */
const LONGEST_REFUSAL_MS = 2_500;

/** Time after which the farewell of a run may arrive, in milliseconds. */
const LONGEST_FAREWELL_MS = 6_000;

/** Time for which a daemon may be away or get no processor time: less and more than its lease lasts, in milliseconds. */
const LONGEST_ABSENCE_MS = 16_000;

const STORE_TROUBLE_MS = 2_000;

const KEYS = 65_536;

/** Adds faults that come together, false evidence, suspensions, clocks that differ, and other writers. */
export class HarshFaults extends LoadFaults {
  public override readonly clockSpread: number = 0.02;

  protected override listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[] {
    const { random } = this;
    const zone = vms.filter(({ failureDomain }) => failureDomain === vm.failureDomain);
    return [
      ...super.listFaults(vm, other, vms, evacuate),
      () => vm.restartDaemon(random.integer(LONGEST_ABSENCE_MS)),
      () => {
        for (const each of [vm, other]) each.restartDaemon(300 + random.integer(LONGEST_ABSENCE_MS));
      },
      () => {
        vm.restartDaemon(300 + random.integer(1_500));
        vm.restartServer(300 + random.integer(3_000));
      },
      () => vm.stall(random.integer(LONGEST_ABSENCE_MS)),
      () => vm.suspend(random.integer(LONGEST_SUSPENSION_MS)),
      () => vm.split(random.integer(LONGEST_SPLIT_MS)),
      () => vm.separate(random.integer(LONGEST_SPLIT_MS)),
      () => vm.setPath('mute', STORE_TROUBLE_MS),
      () => {
        for (const each of vms) each.setPath('late', random.integer(STORE_TROUBLE_MS));
      },
      () => vm.refuseConnections(random.integer(LONGEST_REFUSAL_MS)),
      () => vm.repeatAnnouncements(),
      () => vm.withdraw(random.integer(LONGEST_FAREWELL_MS)),
      () => vm.forge(this.createForgery(vm.id)),
      () => {
        const cutMs = random.integer(LONGEST_ABSENCE_MS);
        for (const each of zone) {
          each.setPath('cut', cutMs);
          each.separate(cutMs);
        }
      },
    ];
  }

  /** An announcement of another writer for a service that the daemon does not serve. */
  private createForgery(id: string): Announcement {
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
