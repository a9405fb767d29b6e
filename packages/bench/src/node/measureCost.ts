import { SeededRandom } from '@rattanstep/core'
import type { Ask, Random } from '@rattanstep/core'
import { Admission, chooseOwner, planGang, planPreemption } from '@rattanstep/policy'
import type { BusyWorker, Decision, OwnerCandidate } from '@rattanstep/policy'
import { HUNT_WORKLOAD } from '../runtime/workloads.js'
import type { Scenario } from '../types/scenario.js'
import type { Report } from '../utils/markdown.js'
import { quantile } from '../utils/statistics.js'
import { plotLines } from '../utils/svg.js'
import type { Series } from '../utils/svg.js'

const WORKER_COUNTS = [30, 100, 300, 1500]
const SLOTS_PER_WORKER = 8
const DECISION_COUNT = 50_000
const WARM_UP_CALLS = 20_000
const CLASSES = HUNT_WORKLOAD.classes.filter(kind => kind.role !== 'long').map(kind => kind.rule)
const RESOURCES = { slots: 1, cores: 1, memory: 1024, accelerators: 0 }

/** Fraction of the slots in use before a decision. */
const USED_FRACTION = 0.95

/** Number of asks that wait when all slots are in use. */
const WAITING_ASKS = 5000

interface Cost {
  /** Duration of each measured call in microseconds. */
  times: Float64Array
}

/**
 * Measures the time of single decisions in this process.
 *
 * @param options - seeds, of which only the first one is used
 * @returns a table, and a plot over the number of workers
 */
export const measureCost: Scenario = options => {
  const report: Report = {
    title: 'Time of one decision',
    note: 'Microseconds; one owner with all workers; a decision is an ask with the release that made room for it.',
    columns: ['workers', 'decision', 'p50', 'p99', 'max', 'a second'],
    rows: []
  }
  const series: Series[] = []
  const measurements: Array<[string, (workers: number, random: Random) => Cost]> = [
    ['ask and release, 95 % full', (workers, random) => measureAsks(workers, random, 0)],
    [`ask and release, ${WAITING_ASKS} asks wait`, (workers, random) => measureAsks(workers, random, WAITING_ASKS)],
    ['choose one of 9 owners', (_workers, random) => measureChoice(9, random)],
    ['plan a gang of 8', (workers, random) => measureGang(workers, random, false)],
    ['plan preemption for a gang of 8', (workers, random) => measureGang(workers, random, true)]
  ]
  for (const [name, measure] of measurements) {
    const points: Array<[number, number]> = []
    for (const workers of WORKER_COUNTS) {
      options.progress(`cost ${workers} ${name}`)
      const { times } = measure(workers, new SeededRandom(options.seeds[0]!))
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
    admission.addWorker({ id: `w${index}`, resources: { slots: SLOTS_PER_WORKER, cores: 16, memory: 65_536, accelerators: 0 }, ...place }, 0)
  }
  const permits: Array<{ permit: string, worker: string }> = []
  const collectPermits = (decisions: Decision[]): void => {
    for (const decision of decisions) if (decision.kind === 'grant') permits.push(decision)
  }
  let count = 0
  let now = 0
  const createAsk = (): Ask => ({
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
  const askCount = Math.floor(workers * SLOTS_PER_WORKER * USED_FRACTION) + (queue > 0 ? workers * SLOTS_PER_WORKER + queue : 0)
  for (let index = 0; index < askCount; index++) collectPermits(admission.ask(createAsk(), 'f', now))
  return timeCalls(() => {
    now += 0.1
    const index = random.integer(permits.length)
    const { permit, worker } = permits[index]!
    permits[index] = permits[permits.length - 1]!
    permits.pop()
    const next = createAsk()
    return () => {
      collectPermits(admission.release({ permit, worker, ending: 'completed', serviceTime: 50 }, 'f', now))
      collectPermits(admission.ask(next, 'f', now))
    }
  }, DECISION_COUNT)
}

function measureChoice (count: number, random: Random): Cost {
  const owners: OwnerCandidate[] = Array.from({ length: count }, (_, index) => ({
    incarnation: `n${index}`,
    load: { slots: 24, free: random.integer(6), waiting: [], service: 50 },
    age: 250,
    dataCentre: 'dc'
  }))
  const outstanding = new Map(owners.map(owner => [owner.incarnation, random.integer(3)]))
  return timeCalls(() => () => { chooseOwner({ owners, priority: 60, outstanding, random }) }, DECISION_COUNT)
}

function measureGang (count: number, random: Random, isFull: boolean): Cost {
  const member = { slots: 2, cores: 4, memory: 8192, accelerators: 0 }
  const tasks = Array(8).fill(member)
  const workers: BusyWorker[] = Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    total: { slots: SLOTS_PER_WORKER, cores: 16, memory: 65_536, accelerators: 0 },
    free: isFull ? { slots: 0, cores: 0, memory: 0, accelerators: 0 } : { slots: random.integer(SLOTS_PER_WORKER + 1), cores: 16 * random.next(), memory: 65_536, accelerators: 0 },
    rack: `r${index % 5}`,
    running: Array.from({ length: isFull ? SLOTS_PER_WORKER : 0 }, (_, slot) => ({
      id: `${index}-${slot}`,
      priority: 10 * random.integer(4),
      resources: { slots: 1, cores: 2, memory: 8192, accelerators: 0 },
      speed: 1,
      checkpoints: random.next() < 0.5,
      checkpointTime: 500,
      lost: 1000 * random.next()
    }))
  }))
  return timeCalls(() => () => {
    if (isFull) planPreemption({ tasks, priority: 90, preempts: 'stop', workers })
    else planGang({ tasks, workers })
  }, 300)
}

/** Measures calls; each call is prepared outside the measured time. */
function timeCalls (prepare: () => () => void, count: number): Cost {
  const warmUp = Math.min(WARM_UP_CALLS, count)
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
