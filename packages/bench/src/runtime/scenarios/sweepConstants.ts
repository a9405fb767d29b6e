import type { Effort, Scenario } from '../../types/scenario.js'
import type { Report } from '../../utils/markdown.js'
import { DESKS } from '../desks.js'
import { simulate } from '../simulate.js'
import type { Settings } from '../simulate.js'
import { runColumns, runRow } from '../summary.js'
import { CREST } from './compareLoads.js'

/** Loads of the two scenarios as parts of capacity. */
const BUSY = 0.9
const CROWDED = 2

const SWEEPS: Array<{ name: string, values: number[], settings: (value: number) => Settings }> = [
  { name: 'longLeast', values: [0.1, 0.25, 0.4, 0.6], settings: longLeast => ({ admission: { minLongFraction: longLeast } }) },
  { name: 'recent', values: [25, 50, 100, 400, 1000], settings: recent => ({ admission: { recentPeakWindow: recent } }) },
  { name: 'lend', values: [0, 0.5, 1], settings: lend => ({ admission: { lentReserveFraction: lend } }) },
  { name: 'longRatio', values: [3, 10, 30], settings: longRatio => ({ admission: { longRatio } }) },
  { name: 'redirectAfter', values: [5, 20, 100, Infinity], settings: redirectAfter => ({ admission: { redirectAfter } }) },
  { name: 'turnover', values: [0.03, 0.1, 0.3, 1, 3], settings: turnover => ({ turnover }) },
  { name: 'local', values: [0, 1], settings: local => ({ local: local === 1 }) },
  { name: 'preemptsTasks', values: [0, 1], settings: on => ({ admission: { preemptsTasks: on === 1 } }) },
  { name: 'heartbeat', values: [100, 250, 500, 1000], settings: heartbeat => ({ heartbeat }) }
]

/**
 * Varies each constant that matters while the others keep their defaults, at 90 % of capacity.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const sweepConstants: Scenario = effort => {
  return { reports: effort.desks.map(name => sweepDesk(name, BUSY, effort)), plots: [] }
}

/**
 * The same at 200 % of capacity.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const sweepCrowded: Scenario = effort => {
  return { reports: effort.desks.map(name => sweepDesk(name, CROWDED, effort)), plots: [] }
}

function sweepDesk (name: string, load: number, effort: Effort): Report {
  const desk = DESKS[name]!
  const rows = SWEEPS.flatMap(sweep => sweep.values.map(value => {
    effort.progress(`sweep ${name} ${load} ${sweep.name} ${value}`)
    const plan = { desk, load, duration: effort.duration, crest: CREST, failing: 0, waves: 0 }
    const recorders = effort.seeds.map(seed => simulate({ ...plan, seed }, 'rattanstep', sweep.settings(value)))
    return [`${sweep.name} ${value}`, ...runRow(recorders, { desk, load, duration: effort.duration })]
  }))
  return { title: `${name} desk, ${Math.round(100 * load)} % of capacity: constants`, note: 'Waits in ms.', columns: ['setting', ...runColumns(desk)], rows }
}
