import type { Clock, Instance, InstanceList, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Milliseconds between looks at the platform's list. */
const POLL_INTERVAL_MS = 2000

/** What a fleet is made of. */
export interface FleetOptions {
  instances: InstanceList
  clock: Clock
  log: Log
}

/** The newest known list of the platform. While the platform does not answer, the last answer counts. */
export class Fleet {
  private instancesById: Map<string, Instance> | null = null
  private lastReadAt: number | null = null
  private unavailableSince: number | null = null
  private isPolling = false
  private timer: Timer | null = null
  private readonly listeners: Array<() => void> = []

  /** @param options - where the list comes from */
  constructor (private readonly options: FleetOptions) {}

  /** Reads the list once and then again and again. */
  async start (): Promise<void> {
    this.timer = this.options.clock.repeat(POLL_INTERVAL_MS, () => { this.refresh() })
    await this.refresh()
  }

  /** Ends the looks at the list. */
  stop (): void {
    this.timer?.cancel()
  }

  /** @param listener - called after each answer of the platform */
  onUpdate (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns every instance of the newest list, or `null` before the first */
  all (): Instance[] | null {
    return this.instancesById === null ? null : [...this.instancesById.values()]
  }

  /**
   * @param id - identifier of an instance
   * @returns its newest entry, if it is listed
   */
  find (id: string): Instance | undefined {
    return this.instancesById?.get(id)
  }

  /** @returns every worker of the newest list */
  workers (): Instance[] {
    return (this.all() ?? []).filter(instance => instance.role === 'worker')
  }

  /** @returns ms since the newest list was read, or `null` before the first */
  age (): number | null {
    return this.lastReadAt === null ? null : this.options.clock.now() - this.lastReadAt
  }

  /** @returns ms without an answer; 0 while the platform answers */
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
