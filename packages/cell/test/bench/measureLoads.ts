import * as loads from './loads.js'
import { simulateLoad } from './simulateLoad.js'

/** Number of seeds that each load is played with, part of the names of the loads to play, and `preempts`, `refuses` or `preempts,refuses`. */
const SEEDS = Number(process.argv[2] ?? 3)
const NAME = process.argv[3] ?? ''
const PREEMPTS = process.argv[4]?.includes('preempts') === true
const REFUSES = process.argv[4]?.includes('refuses') === true

for (const [name, load] of Object.entries(loads)) {
  if (!name.includes(NAME)) continue
  for (let seed = 1; seed <= SEEDS; seed++) {
    const results = simulateLoad(load, seed, { preempts: PREEMPTS, refuses: REFUSES })
    const owed = results.map((result, index) => result.jobs * load.kinds[index]!.worth)
    const total = results.reduce((sum, result, index) => sum + result.worth * owed[index]!, 0) / owed.reduce((sum, each) => sum + each, 0)
    const stops = results.some(result => result.stops > 0) ? `; stopped ${results.map(({ stops, lost }) => `${stops} (${lost.toFixed(0)} core-s)`).join(', ')}` : ''
    const refused = results.some(result => result.refused > 0) ? `; refused ${results.map(result => result.refused).join(', ')}` : ''
    console.log(`${name} seed ${seed}: ${total.toFixed(3)}  ${results.map(({ name: kind, jobs, inTime, late, failed, worth, largest, large }) => `${kind} ${worth.toFixed(2)} (${inTime}/${late}/${failed} of ${jobs}, largest tenth ${largest.toFixed(2)}, next fifth ${large.toFixed(2)})`).join('; ')}${stops}${refused}`)
  }
}
