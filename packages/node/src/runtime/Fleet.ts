import type { Clock, Instance, InstanceList, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'

/** Milliseconds between looks at the platform's list. */
const POLL_MS = 2000

/** What a fleet is made of. */
export interface FleetOptions {
  instances: InstanceList
  clock: Clock
  log: Log
}

/** The newest known list of the platform. While the platform does not answer, the last answer counts. */
export class Fleet {
  private known: Map<string, Instance> | null = null
  private readAt: number | null = null
  private lostAt: number | null = null
  private polling = false
  private timer: Timer | null = null
  private readonly listeners: Array<() => void> = []

  /** @param options - where the list comes from */
  constructor (private readonly options: FleetOptions) {}

  /** Reads the list once and then again and again. */
  async start (): Promise<void> {
    this.timer = this.options.clock.repeat(POLL_MS, () => { this.refresh() })
    await this.refresh()
  }

  /** Ends the looks at the list. */
  stop (): void {
    this.timer?.cancel()
  }

  /** @param listener - called after each answer of the platform */
  onRead (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns every instance of the newest list, or `null` before the first */
  all (): Instance[] | null {
    return this.known === null ? null : [...this.known.values()]
  }

  /**
   * @param id - identifier of an instance
   * @returns its newest entry, if it is listed
   */
  find (id: string): Instance | undefined {
    return this.known?.get(id)
  }

  /** @returns every worker of the newest list */
  workers (): Instance[] {
    return (this.all() ?? []).filter(instance => instance.role === 'worker')
  }

  /** @returns ms since the newest list was read, or `null` before the first */
  age (): number | null {
    return this.readAt === null ? null : this.options.clock.now() - this.readAt
  }

  /** @returns ms without an answer; 0 while the platform answers */
  lostFor (): number {
    return this.lostAt === null ? 0 : this.options.clock.now() - this.lostAt
  }

  private async refresh (): Promise<void> {
    if (this.polling) return
    this.polling = true
    try {
      await this.read()
    } finally {
      this.polling = false
    }
  }

  private async read (): Promise<void> {
    const { clock, instances, log } = this.options
    const answer = await instances.list()
    if (answer.isErr()) {
      if (this.lostAt === null) log.write(EVENTS.listLost, { message: answer.error.message })
      this.lostAt ??= clock.now()
      return
    }
    if (this.lostAt !== null) log.write(EVENTS.listBack, { lost: clock.now() - this.lostAt })
    this.lostAt = null
    this.readAt = clock.now()
    this.known = new Map(answer.value.map(instance => [instance.id, instance]))
    for (const listener of this.listeners) listener()
  }
}
