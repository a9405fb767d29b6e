/** Ratio between the bounds of adjacent buckets. */
const BUCKET_RATIO = 1.1

/** Lower bound of the first bucket, which also counts shorter times. */
const SMALLEST_BUCKET_MS = 0.1
const BUCKET_COUNT = 220

/** Number of runs at which all weights are halved, so that newer runs count for more. */
const HALVING_COUNT = 512

/** Number of runs from which the learned times of a class replace the declared one. */
const MIN_CLASS_RUNS = 8

/** Number of runs from which the slowness of a worker is used. */
const MIN_WORKER_RUNS = 20

/** Smallest weight of the newest run in a worker's mean; the first runs weigh more. */
const MIN_RUN_WEIGHT = 0.05

/** Histogram of the run times of one class, with exponentially growing buckets. */
class Histogram {
  count = 0
  private sum = 0
  private readonly buckets = new Float64Array(BUCKET_COUNT)

  add (time: number): void {
    this.buckets[bucketOf(time)]! += 1
    this.count += 1
    this.sum += time
    if (this.count >= HALVING_COUNT) this.halve()
  }

  mean (): number {
    return this.sum / this.count
  }

  quantile (fraction: number): number {
    let left = fraction * this.count
    for (let index = 0; index < BUCKET_COUNT; index++) {
      left -= this.buckets[index]!
      if (left <= 0) return SMALLEST_BUCKET_MS * BUCKET_RATIO ** (index + 0.5)
    }
    return SMALLEST_BUCKET_MS * BUCKET_RATIO ** BUCKET_COUNT
  }

  private halve (): void {
    for (let index = 0; index < BUCKET_COUNT; index++) this.buckets[index]! /= 2
    this.count /= 2
    this.sum /= 2
  }
}

function bucketOf (time: number): number {
  if (time <= SMALLEST_BUCKET_MS) return 0
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log(time / SMALLEST_BUCKET_MS) / Math.log(BUCKET_RATIO)))
}

/** Run times learned from completed runs: per class, and per worker relative to the class. */
export class RunTimes {
  private readonly classes = new Map<string, Histogram>()
  private readonly longestRunning = new Map<string, number>()
  private readonly workers = new Map<string, { count: number, ratio: number }>()

  /**
   * Records a completed run.
   *
   * @param options - `className`: class of the work; `worker`: where it ran; `time`: run time in ms
   */
  observe (options: { className: string, worker: string, time: number }): void {
    const histogram = this.classes.get(options.className) ?? new Histogram()
    this.classes.set(options.className, histogram)
    histogram.add(options.time)
    this.longestRunning.delete(options.className)
    this.observeWorker(options.worker, options.time / Math.max(SMALLEST_BUCKET_MS, histogram.mean()))
  }

  /**
   * Records a run that has not ended, so that a class whose runs take far longer than declared is recognised before the
   * first of them ends.
   *
   * @param className - class of the run
   * @param age - ms since the run started
   */
  observeRunning (className: string, age: number): void {
    if ((this.classes.get(className)?.count ?? 0) >= MIN_CLASS_RUNS) return
    this.longestRunning.set(className, Math.max(age, this.longestRunning.get(className) ?? 0))
  }

  /**
   * @param className - a class
   * @param declared - run time in ms that is used until enough runs have ended
   * @returns mean run time in ms
   */
  mean (className: string, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= MIN_CLASS_RUNS) return histogram.mean()
    return Math.max(declared, this.longestRunning.get(className) ?? 0)
  }

  /**
   * @param className - a class
   * @param fraction - from 0 to 1
   * @param declared - run time in ms that is used until enough runs have ended
   * @returns quantile of the run times in ms
   */
  quantile (className: string, fraction: number, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= MIN_CLASS_RUNS) return histogram.quantile(fraction)
    return Math.max(declared, this.longestRunning.get(className) ?? 0)
  }

  /**
   * @param worker - identifier of a worker
   * @returns its mean run time relative to that of the classes; 1 until enough runs have ended
   */
  getSlowness (worker: string): number {
    const known = this.workers.get(worker)
    return known === undefined || known.count < MIN_WORKER_RUNS ? 1 : known.ratio
  }

  /** @param worker - identifier of a worker whose run times are no longer needed */
  removeWorker (worker: string): void {
    this.workers.delete(worker)
  }

  private observeWorker (worker: string, ratio: number): void {
    const known = this.workers.get(worker) ?? { count: 0, ratio: 1 }
    known.count++
    known.ratio += (ratio - known.ratio) * Math.max(MIN_RUN_WEIGHT, 1 / (known.count + 1))
    this.workers.set(worker, known)
  }
}
