import { readFileSync } from 'node:fs'
import { parseSettings } from '@rattanstep/rules'
import { runDaemon } from '../../src/index.js'

const [file = ''] = process.argv.slice(2)
const settings = parseSettings(readFileSync(file, 'utf8'), { file })
if (settings.isErr()) throw new Error(JSON.stringify(settings.error))
const node = await runDaemon({ settings: settings.value })
await node.whenServing()
process.stderr.write(JSON.stringify({ ready: true, addresses: node.addresses, incarnation: node.incarnation }) + '\n')
