import { test } from 'node:test'
import { SeededRandom } from '@rattanstep/core'
import { expect } from 'earl'
import * as broken from '../support/brokenParts.js'
import { explore, walk } from '../support/explore.js'
import { Model } from '../support/Model.js'
import type { ModelOptions } from '../support/Model.js'

const nodes = ['a', 'b', 'c']
const threeNodes = { holders: nodes, owner: 'a', voters: nodes }

/** Each is searched whole: every interleaving within its budget. */
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
  test(`${name}: no interleaving lets a node admit for what the row does not give it`, () => {
    const result = explore(new Model(options))
    console.log(JSON.stringify({ name, states: result.states, steps: result.steps, depth: result.depth }))
    expect(result.trace).toEqual([])
    expect(result.violation).toEqual(null)
    expect(result.isComplete).toEqual(true)
  })
}

/** With one safeguard left out the same search must find a failure. */
const omittedSafeguards: Array<{ without: string, scenario: string, change: Partial<ModelOptions> }> = [
  { without: 'the row that names both sets of voters', scenario: 'fewer voters', change: { planner: new broken.SingleStepPlanner() } },
  { without: 'every holder counting by the next voters', scenario: 'end of an exchange', change: { planner: new broken.UnconfirmedPlanner() } },
  { without: 'a majority of both sets', scenario: 'more voters', change: { planner: new broken.CurrentMajorityPlanner() } },
  { without: 'a majority of votes', scenario: 'takeover', change: { planner: new broken.SingleVotePlanner() } },
  { without: 'a new name for a restarted voter', scenario: 'restart', change: { reusesIncarnation: true } },
  { without: 'counting a promise from the sending', scenario: 'late promises', change: { lease: broken.ReceiptTimeLease } },
  { without: 'a vote barring promises', scenario: 'takeover', change: { voter: broken.VoteIgnoringVoter } },
  { without: 'a vote waiting for the promise to lapse', scenario: 'takeover', change: { voter: broken.PromiseIgnoringVoter } },
  { without: 'a margin for clock rates', scenario: 'clock rates', change: { margin: 0 } },
  { without: 'holding back while a hand-over may land late', scenario: 'takeover', change: { revertsRelease: true } },
  { without: 'holding to the next voters once said', scenario: 'end of an exchange', change: { lease: broken.RevertingLease } },
  { without: 'the owner dropping what is missing', scenario: 'takeover', change: { planner: new broken.DroppingPlanner() } },
  { without: 'the wait after voters were lost', scenario: 'lost voters', change: { lossDelayFactor: 0 } }
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

/** Replays one walk: `MODEL_SEED=17`. */
const seed = Number(process.env.MODEL_SEED ?? 1)
const walks = Number(process.env.MODEL_WALKS ?? 150)

for (const [name, options] of Object.entries(longScenarios)) {
  test(`${name}: long random walks find no failure`, () => {
    const result = walk(new Model(options), new SeededRandom(seed), walks)
    console.log(JSON.stringify({ name, seed, walks, steps: result.steps }))
    expect(result.trace).toEqual([])
  })
}
