import type { Load } from '@rattanstep/core'
import { Cell } from './Cell.js'

/** A load as large as that of an owner with six priorities. */
const LOAD: Load = {
  slots: 56,
  free: 17,
  waiting: Array.from({ length: 6 }, (_, priority) => ({ priority, count: 12, wait: 35.25 })),
  service: 41.75
}

/** Resources of a cell: 60 workers and 32 key shards. */
const RESOURCES = [
  ...Array.from({ length: 60 }, (_, index) => `worker/w${index}`),
  ...Array.from({ length: 32 }, (_, index) => `shard/${index}`)
]

/** Simulated time over which the idle cost is counted, after a minute for the cell to start. */
const MEASURE_SECONDS = 60

/** Cost of a cell without changes. */
export interface IdleCost {
  nodes: number
  messagesPerNodeAndSecond: number
  /** Bytes of JSON text, without the overhead of the transport. */
  bytesPerNodeAndSecond: number
  /** Messages of the node that sends most. */
  mostMessagesPerSecond: number
  /** Reads and commits of all nodes over the whole measurement. */
  tableCalls: number
}

/** Counts the messages and the table calls of a cell without changes. */
export async function measureIdleCost (nodes: number): Promise<IdleCost> {
  const cell = new Cell({ nodes, resources: RESOURCES, load: LOAD })
  await cell.run(60_000)
  const { wire, store } = cell
  const before = { messages: wire.messageCount, calls: store.reads + store.commits }
  wire.countsBytes = true
  wire.sentBy.clear()
  await cell.run(MEASURE_SECONDS * 1000)
  return {
    nodes,
    messagesPerNodeAndSecond: round((wire.messageCount - before.messages) / nodes / MEASURE_SECONDS),
    bytesPerNodeAndSecond: round(wire.byteCount / nodes / MEASURE_SECONDS),
    mostMessagesPerSecond: round(Math.max(...wire.sentBy.values()) / MEASURE_SECONDS),
    tableCalls: store.reads + store.commits - before.calls
  }
}

/** Median and worst time in ms until every resource has an admitting owner again, over `cases` seeds. */
export interface TakeoverTime {
  /** How the node ends: `kill` or `planned stop`. */
  what: string
  nodes: number
  cases: number
  median: number
  worst: number
}

/** Measures how long at least one resource has no admitting owner after a node ends. */
export async function measureTakeover (what: 'kill' | 'planned stop', nodes: number, cases: number): Promise<TakeoverTime> {
  const times: number[] = []
  for (let seed = 1; seed <= cases; seed++) {
    const cell = new Cell({ seed, nodes, resources: RESOURCES, load: LOAD })
    await cell.run(30_000 + seed * 37)
    if (what === 'kill') cell.kill('n1')
    else cell.node('n1').ownership.drain().catch(() => {})
    times.push(await cell.until(() => cell.isServed(), 60_000, 1))
  }
  times.sort((a, b) => a - b)
  return { what, nodes, cases, median: round(times[cases >> 1]!), worst: round(times.at(-1)!) }
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
