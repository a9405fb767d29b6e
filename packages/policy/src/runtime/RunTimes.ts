/** Ratio of the bounds of neighbouring buckets. */
const BUCKET_RATIO = 1.1

/** Buckets span from 0.1 ms upwards. */
const SMALLEST_BUCKET_MS = 0.1
const BUCKET_COUNT = 220

/** Once this many runs were counted, older ones lose half of their weight. */
const HALVING_COUNT = 512

/** Runs after which a class's learned times replace what was declared. */
const MIN_CLASS_RUNS = 8

/** Runs after which a worker's own speed counts. */
const MIN_WORKER_RUNS = 20

/** Weight of the newest run in a worker's mean. */
const MIN_RUN_WEIGHT = 0.05

/** Run times of one class. */
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

/** Run times learned from completed runs, by class and, as a factor, by worker. */
export class RunTimes {
  private readonly classes = new Map<string, Histogram>()
  private readonly longestRunning = new Map<string, number>()
  private readonly workers = new Map<string, { count: number, ratio: number }>()

  /**
   * @param options - what ended: `className`, `worker`, `time` in ms
   */
  observe (options: { className: string, worker: string, time: number }): void {
    const histogram = this.classes.get(options.className) ?? new Histogram()
    this.classes.set(options.className, histogram)
    histogram.add(options.time)
    this.longestRunning.delete(options.className)
    this.observeWorker(options.worker, options.time / Math.max(SMALLEST_BUCKET_MS, histogram.mean()))
  }

  /**
   * Notes a run that has not ended, so that a class whose runs take far longer than declared is known before one ends.
   *
   * @param className - class
   * @param age - ms since the run started
   */
  observeRunning (className: string, age: number): void {
    if ((this.classes.get(className)?.count ?? 0) >= MIN_CLASS_RUNS) return
    this.longestRunning.set(className, Math.max(age, this.longestRunning.get(className) ?? 0))
  }

  /**
   * @param className - class
   * @param declared - ms that count until enough runs have ended
   * @returns mean run time in ms
   */
  mean (className: string, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= MIN_CLASS_RUNS) return histogram.mean()
    return Math.max(declared, this.longestRunning.get(className) ?? 0)
  }

  /**
   * @param className - class
   * @param fraction - from 0 to 1
   * @param declared - ms that count until enough runs have ended
   * @returns quantile of the run times in ms
   */
  quantile (className: string, fraction: number, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= MIN_CLASS_RUNS) return histogram.quantile(fraction)
    return Math.max(declared, this.longestRunning.get(className) ?? 0)
  }

  /**
   * @param worker - a worker
   * @returns its run times relative to the class's, 1 until enough is known
   */
  getSlowness (worker: string): number {
    const known = this.workers.get(worker)
    return known === undefined || known.count < MIN_WORKER_RUNS ? 1 : known.ratio
  }

  /** @param worker - a worker that is gone */
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
