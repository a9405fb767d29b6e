import * as loads from './loads.js'
import { simulateOrganisations } from './simulateLoad.js'
import type { OrganisationResult } from './simulateLoad.js'

/** Number of seeds that each load is played with, part of the names of the loads to play, and `preempts`, `refuses` or both. */
const SEEDS = Number(process.argv[2] ?? 3)
const NAME = process.argv[3] ?? ''
const PREEMPTS = process.argv.slice(4).includes('preempts')
const REFUSES = process.argv.slice(4).includes('refuses')

for (const [name, load] of Object.entries(loads)) {
  if (!name.includes(NAME)) continue
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { kinds: results, organisations } = simulateOrganisations(load, seed, { preempts: PREEMPTS, refuses: REFUSES })
    const owed = results.map((result, index) => result.jobs * load.kinds[index]!.worth)
    const total = results.reduce((sum, result, index) => sum + result.worth * owed[index]!, 0) / owed.reduce((sum, each) => sum + each, 0)
    const stops = results.some(result => result.stops > 0) ? `; stopped ${results.map(({ stops, lost }) => `${stops} (${lost.toFixed(0)} core-s)`).join(', ')}` : ''
    const refused = results.some(result => result.refused > 0) ? `; refused ${results.map(result => result.refused).join(', ')}` : ''
    console.log(`${name} seed ${seed}: ${total.toFixed(3)}  ${results.map(({ name: kind, jobs, inTime, late, failed, worth, largest, large }) => `${kind} ${worth.toFixed(2)} (${inTime}/${late}/${failed} of ${jobs}, largest tenth ${largest.toFixed(2)}, next fifth ${large.toFixed(2)})`).join('; ')}${stops}${refused}`)
    if (organisations.length > 0) console.log(`  organisations, worst first: ${describe(organisations)}`)
  }
}

/** @returns worth of the worst tenth of the organisations, and of each one */
function describe (organisations: OrganisationResult[]): string {
  const sorted = [...organisations].sort((a, b) => a.worth - b.worth)
  const worst = sorted.slice(0, Math.ceil(0.1 * sorted.length))
  const mean = worst.reduce((sum, { worth }) => sum + worth, 0) / worst.length
  return `worst tenth ${mean.toFixed(3)}; ${sorted.map(({ name, worth, jobs, beyondRate }) => `${name} ${worth.toFixed(2)} (${jobs}, ${beyondRate} beyond)`).join(', ')}`
}
