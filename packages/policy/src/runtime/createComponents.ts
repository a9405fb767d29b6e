import type { AdmissionOptions } from '../types/options.js'
import { ClassRegistry } from './ClassRegistry.js'
import { Dispatcher } from './Dispatcher.js'
import { Ledger } from './Ledger.js'
import { LongRunDetector } from './LongRunDetector.js'
import { PeerSelector } from './PeerSelector.js'
import { PermitTracker } from './PermitTracker.js'
import { WaitEstimator } from './WaitEstimator.js'
import { Quarantine } from './Quarantine.js'
import { CapacityLimits } from './CapacityLimits.js'
import { RunTimes } from './RunTimes.js'
import { WorkerRegistry } from './WorkerRegistry.js'

/** Components of an `Admission`. */
export interface AdmissionComponents {
  runTimes: RunTimes
  workers: WorkerRegistry
  classes: ClassRegistry
  limits: CapacityLimits
  ledger: Ledger
  estimator: WaitEstimator
  quarantine: Quarantine
  longRuns: LongRunDetector
  peers: PeerSelector
  permitTracker: PermitTracker
  dispatcher: Dispatcher
}

/**
 * Creates the components of an `Admission`, with defaults for options that are not set.
 *
 * @param options - see `AdmissionOptions`
 * @returns components that refer to each other
 */
export function createComponents (options: AdmissionOptions): AdmissionComponents {
  const { name, random, maxLongFractionPerWorker = 1, longRatio = 10, minLongFraction = 0.25, lentReserveFraction = 1, recentPeakWindow = 50 } = options
  const { maxQueueLength = 10_000, redirectAfter = 20 } = options
  const runTimes = new RunTimes()
  const quarantine = new Quarantine()
  const workers = new WorkerRegistry({ longFraction: maxLongFractionPerWorker })
  const classes = new ClassRegistry({ runTimes, longRatio })
  const limits = new CapacityLimits({ classes, minLongFraction, lentReserveFraction, recentPeakWindow })
  const ledger = new Ledger({ workers, classes })
  const estimator = new WaitEstimator({ workers, classes, limits })
  const longRuns = new LongRunDetector({ ledger, runTimes })
  const peers = new PeerSelector({ random })
  const permitTracker = new PermitTracker({ workers, classes, ledger })
  const components = { runTimes, workers, classes, limits, ledger, estimator, quarantine, longRuns, peers, permitTracker }
  const dispatcher = new Dispatcher({ name, random, maxQueueLength, redirectAfter, ...components })
  return { ...components, dispatcher }
}
