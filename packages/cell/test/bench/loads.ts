import type { Load } from './simulateLoad.js'

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
