import { test } from 'node:test'
import { SeededRandom } from '@rattanstep/core'
import { expect } from 'earl'
import * as broken from '../support/brokenParts.js'
import { explore, walk } from '../support/explore.js'
import { Model } from '../support/Model.js'
import type { ModelOptions } from '../support/Model.js'

// Two nodes that admit for the same resource would exceed its capacity. That can only show in rare orders of messages,
// clock ticks, restarts and late writes, so the real voter, lease and planner are searched over all of them in small
// scenarios. Leaving out a single safeguard must make the search fail, which shows that it can find such an order.

const nodes = ['a', 'b', 'c']
const threeNodes = { holders: nodes, owner: 'a', voters: nodes }

/** Scenarios whose interleavings within the budget are all searched. */
const scenarios: Record<string, ModelOptions> = {
  takeover: { focus: 'a', start: threeNodes, budget: { ticks: 3, heartbeats: 2, writes: 2, releases: 1 } },
  'late promises': { focus: 'a', start: threeNodes, delaysPromises: true, budget: { ticks: 3, heartbeats: 1, writes: 1 } },
  'fewer voters': {
    focus: 'c',
    start: { ...threeNodes, owner: 'c' },
    leaving: ['b'],
    budget: { ticks: 2, heartbeats: 1, writes: 2 }
  },
  'end of an exchange': {
    focus: 'c',
    start: { ...threeNodes, owner: 'c', nextVoters: ['a'] },
    leaving: ['b'],
    budget: { ticks: 2, heartbeats: 2, writes: 2 }
  },
  'more voters': { focus: 'a', start: { ...threeNodes, voters: ['b'] }, budget: { ticks: 2, heartbeats: 2, writes: 2 } },
  restart: { focus: 'a', start: threeNodes, budget: { ticks: 2, heartbeats: 1, restarts: 1, writes: 2 } },
  'clock rates': { focus: 'a', start: threeNodes, leaseLength: 10, margin: 0.2, rates: [4, 5, 5], budget: { ticks: 4, heartbeats: 2, writes: 1 } },
  'lost voters': { focus: 'a', start: { ...threeNodes, voters: ['b'] }, budget: { ticks: 3, heartbeats: 1, crashes: 1, writes: 1 } },
  'lost voters in an exchange': {
    focus: 'a',
    start: { ...threeNodes, voters: ['b'], nextVoters: ['c'] },
    budget: { ticks: 2, heartbeats: 2, crashes: 1, writes: 1 }
  }
}

for (const [name, options] of Object.entries(scenarios)) {
  test(`${name}: no interleaving lets a node admit for a resource that the row does not give it`, () => {
    const result = explore(new Model(options))
    console.log(JSON.stringify({ name, states: result.states, steps: result.steps, depth: result.depth }))
    expect(result.trace).toEqual([])
    expect(result.violation).toEqual(null)
    expect(result.isComplete).toEqual(true)
  })
}

/** Safeguards without which the same search must find a failure. */
const omittedSafeguards: Array<{ without: string, scenario: string, change: Partial<ModelOptions> }> = [
  { without: 'the row that names both sets of voters', scenario: 'fewer voters', change: { planner: new broken.SingleStepPlanner() } },
  { without: 'every holder having switched to the next voters', scenario: 'end of an exchange', change: { planner: new broken.UnconfirmedPlanner() } },
  { without: 'a majority of both sets', scenario: 'more voters', change: { planner: new broken.CurrentMajorityPlanner() } },
  { without: 'a majority of votes', scenario: 'takeover', change: { planner: new broken.SingleVotePlanner() } },
  { without: 'a new incarnation for a restarted voter', scenario: 'restart', change: { reusesIncarnation: true } },
  { without: 'counting a promise from when its heartbeat was sent', scenario: 'late promises', change: { lease: broken.ReceiptTimeLease } },
  { without: 'a vote blocking later promises', scenario: 'takeover', change: { voter: broken.VoteIgnoringVoter } },
  { without: 'a vote waiting for the promise to lapse', scenario: 'takeover', change: { voter: broken.PromiseIgnoringVoter } },
  { without: 'a margin for clock rates', scenario: 'clock rates', change: { margin: 0 } },
  { without: 'keeping a resource released while its hand-over may take effect late', scenario: 'takeover', change: { revertsRelease: true } },
  { without: 'staying with the next voters once reported', scenario: 'end of an exchange', change: { lease: broken.RevertingLease } },
  { without: 'only the owner dropping a resource that is missing', scenario: 'takeover', change: { planner: new broken.DroppingPlanner() } },
  { without: 'the delay after voters were lost', scenario: 'lost voters', change: { lossDelayFactor: 0 } }
]

for (const { without, scenario, change } of omittedSafeguards) {
  test(`without ${without} the search finds a failure`, () => {
    const result = explore(new Model({ ...scenarios[scenario]!, ...change }))
    console.log(JSON.stringify({ without, states: result.states, trace: result.trace }))
    expect(result.violation).not.toEqual(null)
  })
}

const longScenarios: Record<string, ModelOptions> = {
  'three nodes': {
    focus: 'a',
    start: threeNodes,
    budget: { ticks: 8, heartbeats: 6, writes: 8, releases: 2, restarts: 2 }
  },
  'exchanges, restarts and clock rates': {
    focus: 'c',
    start: { ...threeNodes, owner: 'c', nextVoters: ['a'] },
    leaseLength: 10,
    margin: 0.2,
    rates: [4, 5, 4],
    budget: { ticks: 8, heartbeats: 6, writes: 8, releases: 1, restarts: 2 }
  },
  'lost voters': {
    focus: 'a',
    start: { ...threeNodes, voters: ['b'] },
    budget: { ticks: 8, heartbeats: 6, writes: 6, crashes: 1, restarts: 1 }
  }
}

/** `MODEL_SEED=17` replays one set of walks; `MODEL_WALKS` sets their number. */
const seed = Number(process.env.MODEL_SEED ?? 1)
const walks = Number(process.env.MODEL_WALKS ?? 150)

for (const [name, options] of Object.entries(longScenarios)) {
  test(`${name}: long random walks find no failure`, () => {
    const result = walk(new Model(options), new SeededRandom(seed), walks)
    console.log(JSON.stringify({ name, seed, walks, steps: result.steps }))
    expect(result.trace).toEqual([])
  })
}
