import type { Clock, Instance, InstanceList, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

const POLL_INTERVAL_MS = 2000

/** Options of a fleet. */
export interface FleetOptions {
  instances: InstanceList
  clock: Clock
  log: Log
}

/** Cached copy of the platform's instance list. While the platform does not answer, the last answer stays in use. */
export class Fleet {
  private instancesById: Map<string, Instance> | null = null
  private lastReadAt: number | null = null
  private unavailableSince: number | null = null
  private isPolling = false
  private timer: Timer | null = null
  private readonly listeners: Array<() => void> = []

  /** @param options - source of the list, clock and log */
  constructor (private readonly options: FleetOptions) {}

  /** Reads the list once, then polls it until `stop` is called. */
  async start (): Promise<void> {
    this.timer = this.options.clock.repeat(POLL_INTERVAL_MS, () => { this.refresh() })
    await this.refresh()
  }

  /** Stops polling. */
  stop (): void {
    this.timer?.cancel()
  }

  /** @param listener - called each time the list has been read */
  onUpdate (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns every instance of the cached list, or `null` if the list was never read */
  all (): Instance[] | null {
    return this.instancesById === null ? null : [...this.instancesById.values()]
  }

  /**
   * @param id - identifier of an instance
   * @returns the instance, or `undefined` if it is not listed
   */
  find (id: string): Instance | undefined {
    return this.instancesById?.get(id)
  }

  /** @returns every worker of the cached list */
  workers (): Instance[] {
    return (this.all() ?? []).filter(instance => instance.role === 'worker')
  }

  /** @returns ms since the list was last read, or `null` if it was never read */
  age (): number | null {
    return this.lastReadAt === null ? null : this.options.clock.now() - this.lastReadAt
  }

  /** @returns ms since the platform stopped answering; 0 while it answers */
  unavailableFor (): number {
    return this.unavailableSince === null ? 0 : this.options.clock.now() - this.unavailableSince
  }

  private async refresh (): Promise<void> {
    if (this.isPolling) return
    this.isPolling = true
    try {
      await this.read()
    } finally {
      this.isPolling = false
    }
  }

  private async read (): Promise<void> {
    const { clock, instances, log } = this.options
    const answer = await instances.list()
    if (answer.isErr()) {
      if (this.unavailableSince === null) log.write(EVENTS.listUnavailable, { message: answer.error.message })
      this.unavailableSince ??= clock.now()
      return
    }
    if (this.unavailableSince !== null) log.write(EVENTS.listRestored, { lost: clock.now() - this.unavailableSince })
    this.unavailableSince = null
    this.lastReadAt = clock.now()
    this.instancesById = new Map(answer.value.map(instance => [instance.id, instance]))
    for (const listener of this.listeners) listener()
  }
}
