/** Number of runs of ordinary spread by which a worker's own estimate outweighs the speed of its kind. */
const PRIOR_WEIGHT = 0.5
/** Maximum weight of former runs, in runs of ordinary spread, so that the estimate follows a worker whose speed changes. */
const MAX_WEIGHT = 20
/** Variance of the logarithm of actual to declared duration in runs of ordinary spread: durations are declared within a fifth. */
const ORDINARY_VARIANCE = 0.0133
/** Weight of the newest run in the averages of a route, and of the newest worker estimate in the average of a kind. */
const SMOOTHING = 0.02
/** Number of runs for which the initial values of a route's averages count. */
const FIRST_RUNS = 10
/** Largest ratio of declared to actual duration, or of the inverse, that a run counts with: single outliers say little about the worker. */
const MAX_RATIO = 4
/** Weight from which a worker counts in the spread; the standard error of the estimate is then at most 0.05. */
const MIN_KNOWN_WEIGHT = 6
/** Number of workers with a known speed from which the spread counts. */
const MIN_KNOWN_WORKERS = 6
/**
 * Standard deviation of the logarithms of the speeds above which speeds count as uneven. Equal workers show 0.03 to 0.07 by chance, workers of 0.8,
 * 1 and 1.25 of the nominal speed 0.17.
 */
export const UNEVEN_SPREAD = 0.1
/** The same for cells whose configuration names no organisations: speeds that differ by more than a factor of two, such as 0.6, 1 and 1.6 (0.4). */
export const STRONGLY_UNEVEN_SPREAD = 0.25
/** Share of the spread from which speeds count as uneven below which they count as even again. */
const EVEN_RATIO = 0.8
/** Number of steps of which the common deviation is kept. */
const MAX_STEPS = 2000

/** A run that has completed. */
export interface CompletedRun {
  worker: string
  /** Kind of the worker: workers of one kind are expected to have one speed. */
  kind: string
  route: string
  step: string
  /** Duration declared for the task and duration of the run, in ms. */
  declared: number
  actual: number
}

/** A worker's estimate: weighted mean of the logarithm of its speed. */
interface Estimate {
  value: number
  weight: number
}

/** What the runs of a step that have ended deviate by. */
interface CommonDeviation {
  sum: number
  count: number
}

/** How the declared durations of a route deviate, apart from the speeds of workers. */
interface RouteDeviation {
  mean: number
  /** Variance of the runs of a step about what they have in common, and of what the runs of a step have in common. */
  variance: number
  commonVariance: number
  runs: number
}

/**
 * Estimates the speeds of workers from completed runs. The logarithm of a run's declared / actual duration is the sum of those of the worker's speed, of
 * a deviation common to the runs of its step, and of chance. What the runs of a step on several workers have in common is therefore not counted as
 * speed, and a run counts by the variance that its route has shown.
 */
export class WorkerSpeeds {
  private readonly estimates = new Map<string, Estimate>()
  private readonly kinds = new Map<string, number>()
  private readonly routes = new Map<string, RouteDeviation>()
  private readonly steps = new Map<string, CommonDeviation>()
  /** Mean of the logarithms of the known speeds. It is not told apart from what the durations of all routes are declared wrong by. */
  private mean = 0
  /** Standard deviation of the logarithms of the known speeds; 0 while few are known. */
  spread = 0
  private isUneven = false

  /** Adds a completed run. */
  add ({ worker, kind, route, step, declared, actual }: CompletedRun): void {
    if (!(declared > 0 && actual > 0)) return
    const observed = Math.max(-Math.log(MAX_RATIO), Math.min(Math.log(MAX_RATIO), Math.log(declared / actual)))
    const estimate = this.estimates.get(worker) ?? { value: this.kinds.get(kind) ?? 0, weight: PRIOR_WEIGHT }
    const deviation = this.routes.get(route) ?? { mean: 0, variance: ORDINARY_VARIANCE, commonVariance: ORDINARY_VARIANCE / 4, runs: 0 }
    const common = this.steps.get(step) ?? { sum: 0, count: 0 }
    const residual = observed - estimate.value
    const expected = expectedDeviation(deviation, common)
    const weight = Math.min(1, ORDINARY_VARIANCE / deviation.variance)
    const total = estimate.weight + weight
    this.estimates.set(worker, { value: estimate.value + weight / total * (residual - expected), weight: Math.min(MAX_WEIGHT, total) })
    this.kinds.set(kind, (this.kinds.get(kind) ?? 0) + SMOOTHING * weight * (observed - expected - (this.kinds.get(kind) ?? 0)))
    this.routes.set(route, updateDeviation(deviation, common, residual, estimate.weight / total))
    this.noteStep(step, { sum: common.sum + residual, count: common.count + 1 })
  }

  /** Discards what is known about a worker that is gone. */
  forget (worker: string): void {
    this.estimates.delete(worker)
  }

  /**
   * @param worker - id of a worker
   * @param kind - the worker's kind
   * @returns the worker's speed relative to the mean one as of the last `update`, by its own runs or else by its kind
   */
  estimateOf (worker: string, kind: string): number {
    return Math.exp((this.estimates.get(worker)?.value ?? this.kinds.get(kind) ?? 0) - this.mean)
  }

  /**
   * Updates the mean and the spread of the speeds.
   *
   * @param minSpread - spread above which speeds count as uneven
   * @returns whether speeds differ so much that planning should consider them
   */
  update (minSpread = UNEVEN_SPREAD): boolean {
    const values = [...this.estimates.values()].flatMap(({ value, weight }) => weight >= MIN_KNOWN_WEIGHT ? [value] : [])
    const isKnown = values.length >= MIN_KNOWN_WORKERS
    this.mean = isKnown ? values.reduce((sum, value) => sum + value, 0) / values.length : 0
    this.spread = isKnown ? Math.sqrt(values.reduce((sum, value) => sum + (value - this.mean) ** 2, 0) / values.length) : 0
    this.isUneven = this.spread > (this.isUneven ? EVEN_RATIO : 1) * minSpread
    return this.isUneven
  }

  private noteStep (step: string, common: CommonDeviation): void {
    this.steps.delete(step)
    this.steps.set(step, common)
    if (this.steps.size > MAX_STEPS) this.steps.delete(this.steps.keys().next().value!)
  }
}

/** @returns by how much the runs of a step are expected to deviate: the mean of its route, moved towards the mean of the runs of the step that have ended */
function expectedDeviation ({ mean, variance, commonVariance }: RouteDeviation, { sum, count }: CommonDeviation): number {
  return count === 0 ? mean : mean + count * commonVariance / (count * commonVariance + variance) * (sum / count - mean)
}

/** Adds a run; `certainty` is the share of the run's deviation from what was expected that is chance rather than an unknown speed of the worker. */
function updateDeviation (deviation: RouteDeviation, common: CommonDeviation, residual: number, certainty: number): RouteDeviation {
  const { mean, variance, commonVariance, runs } = deviation
  const smoothing = Math.max(SMOOTHING, 1 / (runs + FIRST_RUNS))
  return {
    mean: mean + smoothing * (residual - mean),
    variance: variance + smoothing * (certainty * (residual - expectedDeviation(deviation, common)) ** 2 - variance),
    // The deviations of two runs of a step vary together only by what they have in common.
    commonVariance: common.count === 0 ? commonVariance : Math.max(0, commonVariance + smoothing * (certainty * (residual - mean) * (common.sum / common.count - mean) - commonVariance)),
    runs: runs + 1
  }
}
