import * as loads from './loads.js'
import { simulateLoad } from './simulateLoad.js'

/** Number of seeds that each load is played with. */
const SEEDS = Number(process.argv[2] ?? 3)
/** Loads to play: those whose names contain this text. */
const FILTER = process.argv[3] ?? ''

for (const [name, load] of Object.entries(loads).filter(([name]) => name.includes(FILTER))) {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const results = simulateLoad(load, seed)
    const owed = results.map((result, index) => result.jobs * load.kinds[index]!.worth)
    const total = results.reduce((sum, result, index) => sum + result.worth * owed[index]!, 0) / owed.reduce((sum, each) => sum + each, 0)
    console.log(`${name} seed ${seed}: ${total.toFixed(3)}  ${results.map(({ name: kind, jobs, inTime, late, failed, worth, largest, large }) => `${kind} ${worth.toFixed(2)} (${inTime}/${late}/${failed} of ${jobs}, largest tenth ${largest.toFixed(2)}, next fifth ${large.toFixed(2)})`).join('; ')}`)
  }
}
