import type { Load, LoadOrganisation } from './simulateLoad.js'

const route = { host: 'h', prefix: '/', service: 's', maxAttempts: 3 }

/**
 * Many gangs beside wide batches and short urgent jobs: on average just over half of the processor capacity is in use, twice as much in
 * bursts. The widest gangs need a tenth of all workers at once, of which the advice service allows a quarter.
 */
export const GANGS_BESIDE_BATCHES: Load = {
  nodes: 97,
  workers: 378,
  capacity: { cpu: 16_000, memory: 65_536 },
  duration: 45_000,
  kinds: [
    { route: { ...route, name: 'check', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 17, perWorker: 0.234, validity: 1500 } }, allowedShare: 0.7, rate: 68, width: [3.1, 19], cpu: [3900, 12_000], memory: 15_000, duration: 540, gangShare: 0.3, steps: 1, worth: 0.405 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 908, perWorker: 9.1, validity: 1500 } }, allowedShare: 0.25, rate: 3.6, width: [20, 120], cpu: [4500, 7600], memory: 17_000, duration: 4200, gangShare: 1, steps: 1.2, worth: 8.55 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 182, perWorker: 2.6, validity: 1500 } }, allowedShare: 0.45, rate: 6.2, width: [24, 150], cpu: [2800, 8300], memory: 10_000, duration: 1900, gangShare: 0, steps: 1.5, worth: 3.2 }
  ],
  bursts: [{ kind: 0, from: 5000, until: 9000, factor: 2 }, { kind: 1, from: 20_000, until: 24_000, factor: 1.8 }]
}

/** The same with a fifth fewer workers, as after the loss of some racks: at the crest more is asked for than fits. */
export const GANGS_IN_A_FULL_CELL: Load = { ...GANGS_BESIDE_BATCHES, workers: 260 }

/** A small cell: few nodes that ask for advice, one call each, so that questions compete with each other. */
export const GANGS_ON_NINE_NODES: Load = {
  nodes: 9,
  workers: 32,
  capacity: { cpu: 16_000, memory: 65_536 },
  duration: 45_000,
  kinds: [
    { route: { ...route, name: 'check', priority: 0, stretch: 1.5, latencyObjective: 250, advice: { base: 7.4, perWorker: 0.11, validity: 1500 } }, allowedShare: 0.7, rate: 29.8, width: [2, 12], cpu: [1400, 4200], memory: 4000, duration: 540, gangShare: 0.3, steps: 1, worth: 0.42 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1000, advice: { base: 630, perWorker: 9, validity: 1500 } }, allowedShare: 0.25, rate: 0.729, width: [8, 48], cpu: [4500, 7600], memory: 17_000, duration: 5300, gangShare: 1, steps: 1.2, worth: 19.6 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3000, advice: { base: 53, perWorker: 0.75, validity: 1500 } }, allowedShare: 0.45, rate: 4.21, width: [10, 60], cpu: [980, 2900], memory: 2000, duration: 1900, gangShare: 0, steps: 1.5, worth: 2.13 }
  ],
  bursts: [{ kind: 0, from: 5000, until: 9000, factor: 2 }, { kind: 1, from: 20_000, until: 24_000, factor: 1.8 }]
}

/** Wide gangs that fill nine tenths of large workers together with batches: three tasks of a gang fit on a worker. */
export const GANGS_ON_LARGE_WORKERS: Load = {
  nodes: 40,
  workers: 245,
  capacity: { cpu: 64_000, memory: 131_072 },
  duration: 40_000,
  kinds: [
    { route: { ...route, name: 'check', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 11.7, perWorker: 0.169, validity: 1500 } }, allowedShare: 0.7, rate: 77, width: [3.2, 19], cpu: [9900, 30_000], memory: 10_000, duration: 800, gangShare: 0.3, steps: 1, worth: 0.41 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 559, perWorker: 8.06, validity: 1500 } }, allowedShare: 0.25, rate: 3.34, width: [20, 120], cpu: [18_000, 30_000], memory: 18_000, duration: 5000, gangShare: 1, steps: 1.2, worth: 10.8 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 104, perWorker: 1.43, validity: 1500 } }, allowedShare: 0.45, rate: 8.63, width: [25, 150], cpu: [6900, 21_000], memory: 13_000, duration: 2200, gangShare: 0, steps: 1.5, worth: 2.61 }
  ],
  bursts: [{ kind: 0, from: 12_000, until: 15_000, factor: 1.7 }]
}

/** The same while batches and gangs arrive at a multiple of their rate: for some seconds much more is asked for than fits. */
export const CREST_ON_LARGE_WORKERS: Load = {
  ...GANGS_ON_LARGE_WORKERS,
  bursts: [{ kind: 2, from: 5000, until: 11_000, factor: 2.4 }, { kind: 0, from: 12_000, until: 15_000, factor: 1.7 }, { kind: 1, from: 20_000, until: 24_000, factor: 1.9 }]
}

/** Capacity of the cell above in thousandths of a core, which the caps of the large organisations are shares of. */
const LARGE_CELL_CPU = 245 * 64_000

/** A few large organisations beside many small ones. Each submits 0.8 of its weight in jobs a second on average. */
const ORGANISATIONS: LoadOrganisation[] = [40, 20, 12, 8, 6, 5, 4, 3, 2, 2, ...Array<number>(10).fill(1)].map((weight, index) => ({
  name: `o${index}`, weight, rate: 0.8 * weight, cap: { cpu: index < 4 ? 0.65 * LARGE_CELL_CPU : index < 10 ? 0.3 * LARGE_CELL_CPU : 0, memory: 0, accelerators: 0 }
}))

/** An organisation submits 6.7 times its usual rate, beside bursts of the urgent kind and of the batches. */
export const ORGANISATIONS_ON_LARGE_WORKERS: Load = {
  ...GANGS_ON_LARGE_WORKERS,
  organisations: ORGANISATIONS,
  bursts: [{ kind: 0, from: 8000, until: 12_500, factor: 2 }, { kind: 2, from: 20_000, until: 24_500, factor: 2.3 }],
  organisationBursts: [{ organisation: 1, from: 9000, until: 14_300, factor: 6.7 }, { organisation: 3, from: 21_000, until: 26_300, factor: 6.7 }]
}

/** The same with two thirds of the workers: more is asked for than fits, also without the bursts. */
export const ORGANISATIONS_IN_A_FULL_CELL: Load = { ...ORGANISATIONS_ON_LARGE_WORKERS, workers: 165 }

/** Urgent jobs, gangs and batches, of which four fifths write checkpoints, on large workers; each kind arrives at a multiple of its rate for a while. */
export const FULL_CELL_OF_LARGE_WORKERS: Load = {
  nodes: 63,
  workers: 246,
  capacity: { cpu: 64_000, memory: 262_144 },
  speeds: [0.8, 1, 1.25],
  duration: 45_000,
  kinds: [
    { route: { ...route, name: 'urgent', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 11.7, perWorker: 0.169, validity: 1500 } }, allowedShare: 0.7, rate: 72.2, width: [3.2, 19], cpu: [9900, 30_000], memory: 10_000, duration: 640, gangShare: 0.33, steps: 1, worth: 0.41 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 559, perWorker: 8.06, validity: 1500 } }, allowedShare: 0.25, rate: 2.5, width: [20, 120], cpu: [18_000, 30_000], memory: 18_000, duration: 5000, gangShare: 1, steps: 1.2, worth: 10.8 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 104, perWorker: 1.43, validity: 1500 } }, allowedShare: 0.45, rate: 7.18, width: [25, 150], cpu: [6900, 21_000], memory: 13_000, duration: 3400, gangShare: 0, steps: 1.5, worth: 2.61, checkpointShare: 0.8 }
  ],
  bursts: [{ kind: 2, from: 8000, until: 12_500, factor: 2.2 }, { kind: 0, from: 18_000, until: 22_500, factor: 2.2 }, { kind: 1, from: 28_000, until: 32_500, factor: 1.6 }]
}

/** The same kinds on workers of a quarter of the size. */
export const FULL_CELL_OF_SMALL_WORKERS: Load = {
  nodes: 63,
  workers: 170,
  capacity: { cpu: 16_000, memory: 32_768 },
  speeds: [0.8, 1, 1.25],
  duration: 45_000,
  kinds: [
    { route: { ...route, name: 'urgent', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 11.7, perWorker: 0.169, validity: 1500 } }, allowedShare: 0.7, rate: 84.6, width: [3, 19], cpu: [2500, 8000], memory: 1500, duration: 540, gangShare: 0.33, steps: 1, worth: 0.41 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 630, perWorker: 9, validity: 1500 } }, allowedShare: 0.25, rate: 2.32, width: [20, 120], cpu: [4500, 7600], memory: 4500, duration: 5300, gangShare: 1, steps: 1.2, worth: 10.8 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 182, perWorker: 2.6, validity: 1500 } }, allowedShare: 0.45, rate: 4.85, width: [25, 150], cpu: [1700, 5500], memory: 1600, duration: 2900, gangShare: 0, steps: 1.5, worth: 2.61, checkpointShare: 0.8 }
  ],
  bursts: [{ kind: 2, from: 8000, until: 12_500, factor: 2.2 }, { kind: 0, from: 18_000, until: 22_500, factor: 2.2 }, { kind: 1, from: 28_000, until: 32_500, factor: 1.6 }]
}

/** The large workers after the loss of a fifth of them: more is asked for than fits for most of the time. */
export const TOO_FEW_LARGE_WORKERS: Load = { ...FULL_CELL_OF_LARGE_WORKERS, workers: 197 }

/**
 * Gangs, batches and urgent jobs on large workers of unequal speed. Batches ask for most of the capacity; in bursts and at the crest of the wave more is
 * asked for than fits. The durations declared for urgent jobs say little.
 */
export const UNEVEN_LARGE_WORKERS: Load = {
  nodes: 40,
  workers: 246,
  capacity: { cpu: 64_000, memory: 262_144 },
  speeds: [0.8, 1, 1.25],
  wave: { amplitude: 0.27, period: 11_000 },
  duration: 40_000,
  kinds: [
    { route: { ...route, name: 'check', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 11.7, perWorker: 0.169, validity: 1500 } }, allowedShare: 0.7, rate: 72.2, width: [3.2, 19], cpu: [9900, 30_000], memory: 10_000, duration: 640, estimateError: 0.9, gangShare: 0.33, steps: 1, worth: 0.41 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 559, perWorker: 8.06, validity: 1500 } }, allowedShare: 0.25, rate: 2.5, width: [20, 120], cpu: [18_000, 30_000], memory: 18_000, duration: 5000, gangShare: 1, steps: 1.2, worth: 10.8 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 104, perWorker: 1.43, validity: 1500 } }, allowedShare: 0.45, rate: 7.18, width: [25, 150], cpu: [6900, 21_000], memory: 13_000, duration: 3400, gangShare: 0, steps: 1.5, worth: 2.61 }
  ],
  bursts: [{ kind: 2, from: 5000, until: 9500, factor: 2.2 }, { kind: 0, from: 14_000, until: 18_500, factor: 2.2 }, { kind: 1, from: 24_000, until: 28_500, factor: 1.6 }]
}

/** Smaller workers of which the fastest are almost three times as fast as the slowest, under a load that varies more. */
export const UNEVEN_SMALL_WORKERS: Load = {
  nodes: 63,
  workers: 246,
  capacity: { cpu: 16_000, memory: 32_768 },
  speeds: [0.6, 1, 1.6],
  wave: { amplitude: 0.55, period: 11_000 },
  duration: 40_000,
  kinds: [
    { route: { ...route, name: 'check', priority: 0, stretch: 1.5, latencyObjective: 251, advice: { base: 17, perWorker: 0.234, validity: 1500 } }, allowedShare: 0.7, rate: 84.6, width: [3, 19], cpu: [2500, 7700], memory: 4800, duration: 540, estimateError: 0.9, gangShare: 0.33, steps: 1, worth: 0.405 },
    { route: { ...route, name: 'gang', priority: 1, stretch: 2.2, latencyObjective: 1001, advice: { base: 908, perWorker: 9.1, validity: 1500 } }, allowedShare: 0.25, rate: 2.32, width: [20, 120], cpu: [4500, 7600], memory: 8500, duration: 5300, gangShare: 1, steps: 1.2, worth: 8.55 },
    { route: { ...route, name: 'batch', priority: 2, stretch: 4, latencyObjective: 3001, advice: { base: 182, perWorker: 2.6, validity: 1500 } }, allowedShare: 0.45, rate: 4.85, width: [25, 150], cpu: [1700, 5100], memory: 3000, duration: 2900, gangShare: 0, steps: 1.5, worth: 3.2 }
  ],
  bursts: [{ kind: 2, from: 5000, until: 9500, factor: 2.2 }, { kind: 0, from: 14_000, until: 18_500, factor: 2.2 }, { kind: 1, from: 24_000, until: 28_500, factor: 1.6 }]
}

/** Twice as many gangs and batches as fit, for half a minute. */
export const TWICE_TOO_MUCH: Load = {
  ...FULL_CELL_OF_LARGE_WORKERS,
  bursts: [{ kind: 2, from: 3000, until: 33_000, factor: 3.5 }, { kind: 1, from: 3000, until: 33_000, factor: 1.5 }]
}
