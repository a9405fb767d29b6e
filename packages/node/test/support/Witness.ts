import type { Outcome } from '@rattanstep/core'

/** What a caller was told; `cut`: its connection ended without an answer. */
export type Told = Outcome | 'cut'

interface Entry {
  /** Whether it may run more than once. */
  idempotent: boolean
  runs: string[]
  told: Told[]
  /** Sendings without an end. */
  open: number
}

/** Counts what ran where and what callers were told, and notes each breach of what must always hold. */
export class Witness {
  readonly breaches: string[] = []
  private readonly entries = new Map<number, Entry>()

  /** @param now - ms of true time */
  constructor (private readonly now: () => number) {}

  /** @param what - what was broken */
  breach (what: string): void {
    this.breaches.push(`${Math.round(this.now())} ms: ${what}`)
  }

  /**
   * @param request - a caller's request
   * @param idempotent - whether it may run more than once
   */
  sent (request: number, idempotent: boolean): void {
    const entry = this.entries.get(request) ?? { idempotent, runs: [], told: [], open: 0 }
    entry.open++
    this.entries.set(request, entry)
  }

  /**
   * @param request - a request that begins to run
   * @param worker - where
   */
  ran (request: number, worker: string): void {
    const entry = this.entries.get(request)!
    entry.runs.push(worker)
    if (!entry.idempotent && entry.runs.length > 1) this.breach(`request ${request} ran at ${entry.runs.join(' and ')}`)
    if (entry.open === 0 && entry.told.every(told => told === 'not-run')) this.breach(`request ${request} ran after its caller was told that it was not run`)
  }

  /**
   * @param request - a request whose sending has ended
   * @param told - what its caller was told
   * @param tag - content of the answer, if there was one
   */
  told (request: number, told: Told, tag: string | null = null): void {
    const entry = this.entries.get(request)!
    entry.open--
    entry.told.push(told)
    if (tag !== null && tag !== `answer to ${request}`) this.breach(`request ${request} got the ${tag}`)
    if (told === 'run' && entry.runs.length === 0) this.breach(`request ${request} was called run and never ran`)
    const onlyNotRun = entry.open === 0 && entry.told.every(word => word === 'not-run')
    if (onlyNotRun && entry.runs.length > 0) this.breach(`request ${request} was called not run and ran at ${entry.runs.join(', ')}`)
  }

  /** Notes each request that nobody ended. */
  close (): void {
    for (const [request, entry] of this.entries) {
      if (entry.open > 0) this.breach(`request ${request} never got an answer`)
    }
  }

  /** @returns counts over all requests */
  counts (): Record<Told | 'requests' | 'runs', number> {
    const counts = { requests: this.entries.size, runs: 0, run: 0, 'not-run': 0, unknown: 0, cut: 0 }
    for (const entry of this.entries.values()) {
      counts.runs += entry.runs.length
      for (const told of entry.told) counts[told]++
    }
    return counts
  }
}
