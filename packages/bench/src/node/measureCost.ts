import { SeededRandom } from '@rattanstep/core'
import type { Ask, Random } from '@rattanstep/core'
import { Admission, chooseOwner, planGang, planPreemption } from '@rattanstep/policy'
import type { BusyWorker, Decision, OwnerCandidate } from '@rattanstep/policy'
import { HUNT } from '../runtime/desks.js'
import type { Scenario } from '../types/scenario.js'
import type { Report } from '../utils/markdown.js'
import { quantile } from '../utils/statistics.js'
import { plotLines } from '../utils/svg.js'
import type { Series } from '../utils/svg.js'

const SIZES = [30, 100, 300, 1500]
const SLOTS = 8
const DECISIONS = 50_000
const WARM_UP = 20_000
const CLASSES = HUNT.classes.filter(kind => kind.role !== 'long').map(kind => kind.rule)
const RESOURCES = { slots: 1, cores: 1, memory: 1024, accelerators: 0 }

/** Part of the slots in use before a decision. */
const FULL = 0.95

/** Asks that wait before the full cell. */
const QUEUE = 5000

interface Cost {
  /** Microseconds of each measured call. */
  times: Float64Array
}

/**
 * Measures the time of single decisions in this process.
 *
 * @param effort - seeds; the first one is used
 * @returns a table and a plot by number of workers
 */
export const measureCost: Scenario = effort => {
  const report: Report = {
    title: 'Time of one decision',
    note: 'Microseconds; one owner with all workers; a decision is an ask with the release that made room for it.',
    columns: ['workers', 'decision', 'p50', 'p99', 'max', 'a second'],
    rows: []
  }
  const series: Series[] = []
  const kinds: Array<[string, (workers: number, random: Random) => Cost]> = [
    ['ask and release, 95 % full', (workers, random) => measureAsks(workers, random, 0)],
    [`ask and release, ${QUEUE} asks wait`, (workers, random) => measureAsks(workers, random, QUEUE)],
    ['choose one of 9 owners', (_workers, random) => measureChoice(9, random)],
    ['plan a gang of 8', (workers, random) => measureGang(workers, random, false)],
    ['plan preemption for a gang of 8', (workers, random) => measureGang(workers, random, true)]
  ]
  for (const [name, measure] of kinds) {
    const points: Array<[number, number]> = []
    for (const workers of SIZES) {
      effort.progress(`cost ${workers} ${name}`)
      const { times } = measure(workers, new SeededRandom(effort.seeds[0]!))
      const mean = times.reduce((sum, time) => sum + time, 0) / times.length
      const figures = [quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)]
      report.rows.push([`${workers}`, name, ...figures.map(figure => figure.toFixed(1)), Math.round(1e6 / mean).toLocaleString('en')])
      points.push([workers, figures[1]!])
    }
    series.push({ name, points })
  }
  return { reports: [report], plots: [plotLines({ title: 'Time of one decision, p99', x: 'workers', y: 'µs', series })] }
}

function measureAsks (workers: number, random: Random, queue: number): Cost {
  const admission = new Admission({ name: 'n', classes: CLASSES, now: 0, random })
  for (let index = 0; index < workers; index++) {
    const place = { address: { host: '127.0.0.1', port: 1 }, connections: 60, dataCentre: `dc${index % 4}`, rack: `r${index % 5}` }
    admission.addWorker({ id: `w${index}`, resources: { slots: SLOTS, cores: 16, memory: 65_536, accelerators: 0 }, ...place }, 0)
  }
  const permits: Array<{ permit: string, worker: string }> = []
  const take = (decisions: Decision[]): void => {
    for (const decision of decisions) if (decision.kind === 'grant') permits.push(decision)
  }
  let count = 0
  let now = 0
  const ask = (): Ask => ({
    id: `${count++}`,
    class: random.pick(CLASSES).name,
    caller: `c${random.integer(200)}`,
    team: '',
    resources: RESOURCES,
    patience: 1e9,
    waited: 0,
    avoid: []
  })
  const rules = CLASSES.map(rule => ({ ...rule, patience: 1e9 }))
  admission.configure(rules, [], 0)
  const wanted = Math.floor(workers * SLOTS * FULL) + (queue > 0 ? workers * SLOTS + queue : 0)
  for (let index = 0; index < wanted; index++) take(admission.ask(ask(), 'f', now))
  return time(() => {
    now += 0.1
    const index = random.integer(permits.length)
    const { permit, worker } = permits[index]!
    permits[index] = permits[permits.length - 1]!
    permits.pop()
    const next = ask()
    return () => {
      take(admission.release({ permit, worker, ending: 'completed', serviceTime: 50 }, 'f', now))
      take(admission.ask(next, 'f', now))
    }
  }, DECISIONS)
}

function measureChoice (count: number, random: Random): Cost {
  const owners: OwnerCandidate[] = Array.from({ length: count }, (_, index) => ({
    incarnation: `n${index}`,
    load: { slots: 24, free: random.integer(6), waiting: [], service: 50 },
    age: 250,
    dataCentre: 'dc'
  }))
  const outstanding = new Map(owners.map(owner => [owner.incarnation, random.integer(3)]))
  return time(() => () => { chooseOwner({ owners, priority: 60, outstanding, random }) }, DECISIONS)
}

function measureGang (count: number, random: Random, full: boolean): Cost {
  const member = { slots: 2, cores: 4, memory: 8192, accelerators: 0 }
  const tasks = Array(8).fill(member)
  const workers: BusyWorker[] = Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    total: { slots: SLOTS, cores: 16, memory: 65_536, accelerators: 0 },
    free: full ? { slots: 0, cores: 0, memory: 0, accelerators: 0 } : { slots: random.integer(SLOTS + 1), cores: 16 * random.next(), memory: 65_536, accelerators: 0 },
    rack: `r${index % 5}`,
    running: Array.from({ length: full ? SLOTS : 0 }, (_, slot) => ({
      id: `${index}-${slot}`,
      priority: 10 * random.integer(4),
      resources: { slots: 1, cores: 2, memory: 8192, accelerators: 0 },
      speed: 1,
      checkpoints: random.next() < 0.5,
      checkpointTime: 500,
      lost: 1000 * random.next()
    }))
  }))
  return time(() => () => {
    if (full) planPreemption({ tasks, priority: 90, preempts: 'stop', workers })
    else planGang({ tasks, workers })
  }, 300)
}

/** Prepares each call outside the measured time. */
function time (prepare: () => () => void, count: number): Cost {
  const warmUp = Math.min(WARM_UP, count)
  for (let index = 0; index < warmUp; index++) prepare()()
  const times = new Float64Array(count)
  for (let index = 0; index < count; index++) {
    const call = prepare()
    const start = performance.now()
    call()
    times[index] = 1000 * (performance.now() - start)
  }
  return { times }
}
