import type { AdmissionOptions } from '../types/options.js'
import { ClassBooks } from './ClassBooks.js'
import { Dispatcher } from './Dispatcher.js'
import { Ledger } from './Ledger.js'
import { LongRuns } from './LongRuns.js'
import { Peers } from './Peers.js'
import { PermitKeeper } from './PermitKeeper.js'
import { Projection } from './Projection.js'
import { Quarantine } from './Quarantine.js'
import { RoomLimits } from './RoomLimits.js'
import { RunTimes } from './RunTimes.js'
import { WorkerBooks } from './WorkerBooks.js'

/** What an `Admission` works with. */
export interface Parts {
  runTimes: RunTimes
  workers: WorkerBooks
  classes: ClassBooks
  limits: RoomLimits
  ledger: Ledger
  projection: Projection
  quarantine: Quarantine
  longRuns: LongRuns
  peers: Peers
  keeper: PermitKeeper
  dispatcher: Dispatcher
}

/**
 * Makes the parts of an `Admission`, with defaults for what the options leave out.
 *
 * @param options - see `AdmissionOptions`
 * @returns parts that know each other
 */
export function createParts (options: AdmissionOptions): Parts {
  const { name, random, longPartOfWorker = 1, longRatio = 10, longLeast = 0.25, lend = 1, recent = 50 } = options
  const { queueMost = 10_000, redirectAfter = 20 } = options
  const runTimes = new RunTimes()
  const quarantine = new Quarantine()
  const workers = new WorkerBooks({ longPart: longPartOfWorker })
  const classes = new ClassBooks({ runTimes, longRatio })
  const limits = new RoomLimits({ classes, longLeast, lend, recent })
  const ledger = new Ledger({ workers, classes })
  const projection = new Projection({ workers, classes, limits })
  const longRuns = new LongRuns({ ledger, runTimes })
  const peers = new Peers({ random })
  const keeper = new PermitKeeper({ workers, classes, ledger })
  const books = { runTimes, workers, classes, limits, ledger, projection, quarantine, longRuns, peers, keeper }
  const dispatcher = new Dispatcher({ name, random, queueMost, redirectAfter, ...books })
  return { ...books, dispatcher }
}
