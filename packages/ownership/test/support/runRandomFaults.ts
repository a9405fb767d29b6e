import { RandomFaults, RECOVERY_LIMIT_MS } from './RandomFaults.js'

/** Number of seeds that one test file runs by default. */
const SEEDS_PER_FILE = 700

/**
 * Runs a share of the seeds and prints the counts of faults and changes. `OWNERSHIP_SEED=17` replays one case;
 * `OWNERSHIP_CASES=100000` runs larger shares.
 *
 * @param share - number of the share, from 0
 * @returns the failures, one line each
 */
export async function runRandomFaults (share: number): Promise<string[]> {
  const failures: string[] = []
  const totals = { takeovers: 0, versions: 0, slowest: 0 }
  const faults: Record<string, number> = {}
  const changes: Record<string, number> = {}
  const seeds = seedsOf(share)
  for (const seed of seeds) {
    const result = await new RandomFaults(seed).run()
    for (const violation of result.violations.slice(0, 1)) failures.push(`seed ${seed}: ${violation}`)
    if (result.recovery === Infinity) failures.push(`seed ${seed}: not served within ${RECOVERY_LIMIT_MS} ms`)
    else totals.slowest = Math.max(totals.slowest, result.recovery)
    totals.takeovers += result.takeovers
    totals.versions += result.versions
    add(faults, result.faults)
    add(changes, result.changes)
  }
  console.log(JSON.stringify({ seeds: [seeds[0], seeds.at(-1)], ...totals, changes, faults }))
  return failures
}

function seedsOf (share: number): number[] {
  const only = process.env.OWNERSHIP_SEED
  if (only !== undefined) return share === 0 ? [Number(only)] : []
  const cases = Number(process.env.OWNERSHIP_CASES ?? SEEDS_PER_FILE)
  return Array.from({ length: cases }, (_, index) => share * cases + index + 1)
}

function add (sums: Record<string, number>, counts: Record<string, number>): void {
  for (const [name, count] of Object.entries(counts)) sums[name] = (sums[name] ?? 0) + count
}
