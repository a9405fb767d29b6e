import { Chart } from '@rattanstep/core'
import chart from '../charts/worker.json' with { type: 'json' }

/** How far a worker is trusted. */
export type HealthState = 'healthy' | 'quarantined' | 'probing' | 'awaiting'

/** What changes the trust. */
type HealthEvent = 'outlier' | 'due' | 'granted' | 'completed' | 'failed' | 'lost'

/** Consecutive failures that make a worker an outlier. */
const OUTLIER_FAILURES = 5

/** Part of runs that fail at the other workers up to which a failing worker is an outlier. */
const MAX_PEER_FAILURE_RATE = 0.5

/** Weight of the newest run in a worker's part of failures. */
const FAILURE_RATE_WEIGHT = 0.1

/** Part of all workers that may be in quarantine together. */
const MAX_UNHEALTHY_FRACTION = 1 / 3

/** Milliseconds until the first probe; doubled with each one that fails. */
const FIRST_PROBE_DELAY_MS = 2000
const MAX_PROBE_DELAY_MS = 60_000

/** Milliseconds after which a probe that has not ended counts as failed. */
const PROBE_TIMEOUT_MS = 30_000

interface WorkerHealth {
  state: HealthState
  consecutiveFailures: number
  failureRate: number
  /** When the next step is due, in ms. */
  dueAt: number
  probeCount: number
  /** Since when the worker is not healthy, in ms. */
  unhealthySince: number
}

const CHART = new Chart<HealthState, HealthEvent>(chart)

/** Finds workers that fail everything while their peers do not, and lets single probes bring them back. */
export class Quarantine {
  private readonly records = new Map<string, WorkerHealth>()
  private readonly unhealthy = new Set<string>()

  /** @param worker - a worker to watch */
  add (worker: string): void {
    if (this.records.has(worker)) return
    this.records.set(worker, { state: CHART.initial, consecutiveFailures: 0, failureRate: 0, dueAt: 0, probeCount: 0, unhealthySince: 0 })
  }

  /** @param worker - a worker that is gone */
  remove (worker: string): void {
    this.records.delete(worker)
    this.unhealthy.delete(worker)
  }

  /**
   * @param worker - a worker
   * @returns how far it is trusted
   */
  getHealth (worker: string): HealthState {
    return this.records.get(worker)?.state ?? 'healthy'
  }

  /**
   * @param worker - a worker
   * @returns since when it is not healthy, in ms; `null` when it is
   */
  getUnhealthySince (worker: string): number | null {
    const health = this.records.get(worker)
    return health === undefined || health.state === 'healthy' ? null : health.unhealthySince
  }

  /**
   * Notes how a run ended.
   *
   * @param worker - where
   * @param succeeded - whether it completed
   * @param now - ms
   * @returns whether the worker's trust changed
   */
  recordRun (worker: string, succeeded: boolean, now: number): boolean {
    const health = this.records.get(worker)
    if (health === undefined) return false
    health.consecutiveFailures = succeeded ? 0 : health.consecutiveFailures + 1
    health.failureRate += ((succeeded ? 0 : 1) - health.failureRate) * FAILURE_RATE_WEIGHT
    if (health.state === 'awaiting') return this.transition(worker, health, succeeded ? 'completed' : 'failed', now)
    if (health.state !== 'healthy' || !this.isOutlier(worker, health)) return false
    return this.transition(worker, health, 'outlier', now)
  }

  /**
   * Notes that a worker under probe was given work.
   *
   * @param worker - a worker
   * @param now - ms
   * @returns whether the worker's trust changed
   */
  recordGrant (worker: string, now: number): boolean {
    const health = this.records.get(worker)
    if (health?.state !== 'probing') return false
    return this.transition(worker, health, 'granted', now)
  }

  /**
   * @param now - ms
   * @returns workers whose trust changed because a probe is due or was lost
   */
  tick (now: number): string[] {
    const changed: string[] = []
    for (const worker of this.unhealthy) {
      const health = this.records.get(worker)!
      if (health.dueAt > now) continue
      const event = health.state === 'awaiting' ? 'lost' : 'due'
      if (this.transition(worker, health, event, now)) changed.push(worker)
    }
    return changed
  }

  private isOutlier (worker: string, health: WorkerHealth): boolean {
    if (health.consecutiveFailures < OUTLIER_FAILURES) return false
    if (this.unhealthy.size + 1 > this.records.size * MAX_UNHEALTHY_FRACTION) return false
    return this.peerFailureRate(worker) < MAX_PEER_FAILURE_RATE
  }

  private peerFailureRate (worker: string): number {
    let sum = 0
    let count = 0
    for (const [id, health] of this.records) {
      if (id === worker || health.state !== 'healthy') continue
      sum += health.failureRate
      count++
    }
    return count === 0 ? 1 : sum / count
  }

  private transition (worker: string, health: WorkerHealth, event: HealthEvent, now: number): boolean {
    const next = CHART.next(health.state, event)
    if (next === null) return false
    if (health.state === 'healthy') health.unhealthySince = now
    health.state = next
    if (next === 'healthy') {
      health.probeCount = 0
      this.unhealthy.delete(worker)
      return true
    }
    this.unhealthy.add(worker)
    health.dueAt = next === 'quarantined' ? now + probeDelay(health.probeCount++) : nextDueAt(next, now)
    return true
  }
}

function probeDelay (count: number): number {
  return Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** count)
}

function nextDueAt (state: HealthState, now: number): number {
  return state === 'awaiting' ? now + PROBE_TIMEOUT_MS : Infinity
}
