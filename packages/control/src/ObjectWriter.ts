import { Left, Right, type Either } from 'purify-ts';
import type { ControlContext } from '#control/ControlContext.js';
import type { PutObject } from '#control/PutObject.js';
import type { PutOutcome } from '#control/PutOutcome.js';
import type { SharedObject } from '#control/SharedObject.js';
import type { RouterError } from '#core/RouterError.js';
import type { StoreObject } from '#store/StoreObject.js';
import { updateObject } from '#store/UpdateObject.js';

/** Writes operators' changes of the catalogue and the intent with conditional updates. */
export class ObjectWriter {
  private count = 0;

  /** `writer` is unique to this run of the process; `onStored` receives the object that a write found or stored. */
  public constructor(
    private readonly context: ControlContext,
    private readonly writer: string,
    private readonly onStored: (name: SharedObject['name'], object: StoreObject | undefined) => void,
  ) {}

  /** Writes a change if the object still has the version `ifVersion`. */
  public async put({ name, value, author, ifVersion }: PutObject): Promise<Either<RouterError, PutOutcome>> {
    const authored = { author, timeMs: this.context.clock.wallMs(), [name]: value };
    const { store, operatorStore = store } = this.context;
    const updated = await updateObject(operatorStore, {
      name,
      change: (current) => ((current?.version ?? 0) === ifVersion ? authored : undefined),
      nextMark: () => `${this.writer}/${name}/${(this.count += 1)}`,
    });
    if (updated.isLeft()) return Left(updated.extract());
    const outcome = updated.unsafeCoerce();
    if (outcome.type === 'undecided') return Right({ type: 'undecided' });
    this.onStored(name, outcome.object);
    const { version = 0 } = outcome.object ?? {};
    this.context.logger.log('put', { step: 'admin', object: name, author, outcome: outcome.type, version });
    if (outcome.type === 'accepted') return Right({ type: 'accepted', version: outcome.version });
    const winner = outcome.object?.value as { readonly author: string };
    return Right({ type: 'conflict', version, author: winner.author });
  }
}
