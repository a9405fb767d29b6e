import { Chart } from '@rattanstep/core'
import chart from '../charts/worker.json' with { type: 'json' }

/** How far a worker is trusted. */
export type Trust = 'healthy' | 'quarantined' | 'probing' | 'awaiting'

/** What changes the trust. */
type TrustEvent = 'outlier' | 'due' | 'granted' | 'completed' | 'failed' | 'lost'

/** Consecutive failures that make a worker an outlier. */
const FAILURES = 5

/** Part of runs that fail at the other workers up to which a failing worker is an outlier. */
const PEERS_FAILING = 0.5

/** Weight of the newest run in a worker's part of failures. */
const NEWEST = 0.1

/** Part of all workers that may be in quarantine together. */
const MOST_QUARANTINED = 1 / 3

/** Milliseconds until the first probe; doubled with each one that fails. */
const FIRST_PROBE = 2000
const LAST_PROBE = 60_000

/** Milliseconds after which a probe that has not ended counts as failed. */
const PROBE_TIMEOUT = 30_000

interface Record {
  trust: Trust
  consecutive: number
  failing: number
  /** When the next step is due, in ms. */
  due: number
  probes: number
  /** Since when the worker is not healthy, in ms. */
  since: number
}

const CHART = new Chart<Trust, TrustEvent>(chart)

/** Finds workers that fail everything while their peers do not, and lets single probes bring them back. */
export class Quarantine {
  private readonly records = new Map<string, Record>()
  private readonly troubled = new Set<string>()

  /** @param worker - a worker to watch */
  add (worker: string): void {
    if (this.records.has(worker)) return
    this.records.set(worker, { trust: CHART.initial, consecutive: 0, failing: 0, due: 0, probes: 0, since: 0 })
  }

  /** @param worker - a worker that is gone */
  remove (worker: string): void {
    this.records.delete(worker)
    this.troubled.delete(worker)
  }

  /**
   * @param worker - a worker
   * @returns how far it is trusted
   */
  trust (worker: string): Trust {
    return this.records.get(worker)?.trust ?? 'healthy'
  }

  /**
   * @param worker - a worker
   * @returns since when it is not healthy, in ms; `null` when it is
   */
  since (worker: string): number | null {
    const record = this.records.get(worker)
    return record === undefined || record.trust === 'healthy' ? null : record.since
  }

  /**
   * Notes how a run ended.
   *
   * @param worker - where
   * @param succeeded - whether it completed
   * @param now - ms
   * @returns whether the worker's trust changed
   */
  observe (worker: string, succeeded: boolean, now: number): boolean {
    const record = this.records.get(worker)
    if (record === undefined) return false
    record.consecutive = succeeded ? 0 : record.consecutive + 1
    record.failing += ((succeeded ? 0 : 1) - record.failing) * NEWEST
    if (record.trust === 'awaiting') return this.step(worker, record, succeeded ? 'completed' : 'failed', now)
    if (record.trust !== 'healthy' || !this.isOutlier(worker, record)) return false
    return this.step(worker, record, 'outlier', now)
  }

  /**
   * Notes that a worker under probe was given work.
   *
   * @param worker - a worker
   * @param now - ms
   * @returns whether the worker's trust changed
   */
  granted (worker: string, now: number): boolean {
    const record = this.records.get(worker)
    if (record?.trust !== 'probing') return false
    return this.step(worker, record, 'granted', now)
  }

  /**
   * @param now - ms
   * @returns workers whose trust changed because a probe is due or was lost
   */
  tick (now: number): string[] {
    const changed: string[] = []
    for (const worker of this.troubled) {
      const record = this.records.get(worker)!
      if (record.due > now) continue
      const event = record.trust === 'awaiting' ? 'lost' : 'due'
      if (this.step(worker, record, event, now)) changed.push(worker)
    }
    return changed
  }

  private isOutlier (worker: string, record: Record): boolean {
    if (record.consecutive < FAILURES) return false
    if (this.troubled.size + 1 > this.records.size * MOST_QUARANTINED) return false
    return this.peersFailing(worker) < PEERS_FAILING
  }

  private peersFailing (worker: string): number {
    let sum = 0
    let count = 0
    for (const [id, record] of this.records) {
      if (id === worker || record.trust !== 'healthy') continue
      sum += record.failing
      count++
    }
    return count === 0 ? 1 : sum / count
  }

  private step (worker: string, record: Record, event: TrustEvent, now: number): boolean {
    const next = CHART.next(record.trust, event)
    if (next === null) return false
    if (record.trust === 'healthy') record.since = now
    record.trust = next
    if (next === 'healthy') {
      record.probes = 0
      this.troubled.delete(worker)
      return true
    }
    this.troubled.add(worker)
    record.due = next === 'quarantined' ? now + probeDelay(record.probes++) : dueAfter(next, now)
    return true
  }
}

function probeDelay (probes: number): number {
  return Math.min(LAST_PROBE, FIRST_PROBE * 2 ** probes)
}

function dueAfter (trust: Trust, now: number): number {
  return trust === 'awaiting' ? now + PROBE_TIMEOUT : Infinity
}
