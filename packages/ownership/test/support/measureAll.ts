import { measureIdleCost, measureTakeover } from './measure.js'

for (const nodes of [3, 9, 30]) console.log(JSON.stringify(await measureIdleCost(nodes)))
for (const what of ['kill', 'planned stop'] as const) {
  for (const nodes of [3, 9]) console.log(JSON.stringify(await measureTakeover(what, nodes, 50)))
}
