/** Ratio of the bounds of neighbouring buckets. */
const BASE = 1.1

/** Buckets span from 0.1 ms upwards. */
const LEAST = 0.1
const BUCKETS = 220

/** Once this many runs were counted, older ones lose half of their weight. */
const MEMORY = 512

/** Runs after which a class's learned times replace what was declared. */
const ENOUGH = 8

/** Runs after which a worker's own speed counts. */
const ENOUGH_AT_WORKER = 20

/** Weight of the newest run in a worker's mean. */
const NEWEST = 0.05

/** Run times of one class. */
class Histogram {
  count = 0
  private sum = 0
  private readonly buckets = new Float64Array(BUCKETS)

  add (time: number): void {
    this.buckets[bucketOf(time)]! += 1
    this.count += 1
    this.sum += time
    if (this.count >= MEMORY) this.halve()
  }

  mean (): number {
    return this.sum / this.count
  }

  quantile (part: number): number {
    let left = part * this.count
    for (let index = 0; index < BUCKETS; index++) {
      left -= this.buckets[index]!
      if (left <= 0) return LEAST * BASE ** (index + 0.5)
    }
    return LEAST * BASE ** BUCKETS
  }

  private halve (): void {
    for (let index = 0; index < BUCKETS; index++) this.buckets[index]! /= 2
    this.count /= 2
    this.sum /= 2
  }
}

function bucketOf (time: number): number {
  if (time <= LEAST) return 0
  return Math.min(BUCKETS - 1, Math.floor(Math.log(time / LEAST) / Math.log(BASE)))
}

/** Run times learned from completed runs, by class and, as a factor, by worker. */
export class RunTimes {
  private readonly classes = new Map<string, Histogram>()
  private readonly floors = new Map<string, number>()
  private readonly workers = new Map<string, { count: number, ratio: number }>()

  /**
   * @param options - what ended: `className`, `worker`, `time` in ms
   */
  observe (options: { className: string, worker: string, time: number }): void {
    const histogram = this.classes.get(options.className) ?? new Histogram()
    this.classes.set(options.className, histogram)
    histogram.add(options.time)
    this.floors.delete(options.className)
    this.observeWorker(options.worker, options.time / Math.max(LEAST, histogram.mean()))
  }

  /**
   * Notes a run that has not ended, so that a class whose runs take far longer than declared is known before one ends.
   *
   * @param className - class
   * @param age - ms since the run started
   */
  observeRunning (className: string, age: number): void {
    if ((this.classes.get(className)?.count ?? 0) >= ENOUGH) return
    this.floors.set(className, Math.max(age, this.floors.get(className) ?? 0))
  }

  /**
   * @param className - class
   * @param declared - ms that count until enough runs have ended
   * @returns mean run time in ms
   */
  mean (className: string, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= ENOUGH) return histogram.mean()
    return Math.max(declared, this.floors.get(className) ?? 0)
  }

  /**
   * @param className - class
   * @param part - from 0 to 1
   * @param declared - ms that count until enough runs have ended
   * @returns quantile of the run times in ms
   */
  quantile (className: string, part: number, declared: number): number {
    const histogram = this.classes.get(className)
    if (histogram !== undefined && histogram.count >= ENOUGH) return histogram.quantile(part)
    return Math.max(declared, this.floors.get(className) ?? 0)
  }

  /**
   * @param worker - a worker
   * @returns its run times relative to the class's, 1 until enough is known
   */
  factor (worker: string): number {
    const known = this.workers.get(worker)
    return known === undefined || known.count < ENOUGH_AT_WORKER ? 1 : known.ratio
  }

  /** @param worker - a worker that is gone */
  forget (worker: string): void {
    this.workers.delete(worker)
  }

  private observeWorker (worker: string, ratio: number): void {
    const known = this.workers.get(worker) ?? { count: 0, ratio: 1 }
    known.count++
    known.ratio += (ratio - known.ratio) * Math.max(NEWEST, 1 / (known.count + 1))
    this.workers.set(worker, known)
  }
}
