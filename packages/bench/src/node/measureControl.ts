import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { SystemClock } from '@rattanstep/core'
import type { Address, Instance } from '@rattanstep/core'
import { PlatformServer, WorkerServer } from '@rattanstep/stand-ins'

/**
 * Measures the cost of the control plane on each node without load (processor time, memory and bytes) for several numbers of
 * nodes and workers. Each node is a separate process; the stand-ins run in this process. Works only on Linux, because the
 * figures come from /proc.
 */

const CLI_FILE = fileURLToPath(new URL('../../../../cli/dist/src/node/main.js', import.meta.url))

/** Time for a new cell to reach a steady state before the measurement. */
const SETTLE_MS = 12_000

/** Duration of one measurement. */
const MEASURE_MS = 20_000

/** Clock ticks per second in the processor times of /proc. */
const TICKS_PER_SECOND = 100

/** Node.js flags that the guide recommends for nodes. */
const NODE_FLAGS = ['--max-semi-space-size=2']

const KIB = 1024
const SECRET = 'secret-of-the-measured-cell'
const LOOPBACK = '127.0.0.1'

interface Setup {
  nodes: number
  workers: number
  /** Changes of the rules per second during the measurement. */
  ruleChanges: number
}

const SETUPS: Setup[] = [
  { nodes: 3, workers: 30, ruleChanges: 0 },
  { nodes: 9, workers: 30, ruleChanges: 0 },
  { nodes: 9, workers: 110, ruleChanges: 0 },
  { nodes: 18, workers: 30, ruleChanges: 0 },
  { nodes: 9, workers: 30, ruleChanges: 1 }
]

interface Figures {
  /** Processor time as a percentage of one core. */
  processor: number
  /** Resident memory in MB. */
  memory: number
  /** Bytes written per second to all files and sockets. */
  written: number
  /** Bytes read per second from all files and sockets. */
  read: number
}

interface ProcessReading {
  /** Processor time in clock ticks, user and system together. */
  ticks: number
  /** Resident memory in bytes. */
  resident: number
  /** Bytes written since the process started. */
  written: number
  /** Bytes read since the process started. */
  read: number
}

function readProcess (pid: number): ProcessReading {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const io = new Map(readFileSync(`/proc/${pid}/io`, 'utf8').trim().split('\n').map(line => {
    const [name = '', value = '0'] = line.split(': ')
    return [name, Number(value)] as const
  }))
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB
  return { ticks: Number(fields[11]) + Number(fields[12]), resident, written: io.get('wchar') ?? 0, read: io.get('rchar') ?? 0 }
}

function calculateFigures (before: ProcessReading, after: ProcessReading, seconds: number): Figures {
  return {
    processor: (after.ticks - before.ticks) / TICKS_PER_SECOND / seconds * 100,
    memory: after.resident / 1e6,
    written: (after.written - before.written) / seconds,
    read: (after.read - before.read) / seconds
  }
}

async function sleep (duration: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, duration))
}

function createEntryInstance (id: string): Instance {
  return {
    id,
    role: 'entry',
    state: 'live',
    dataCentre: 'north',
    rack: 'r0',
    address: { host: LOOPBACK, port: 1 },
    resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 },
    connections: 0
  }
}

async function startWorkers (count: number, platform: PlatformServer): Promise<WorkerServer[]> {
  const clock = new SystemClock()
  const servers: WorkerServer[] = []
  for (let number = 1; number <= count; number++) {
    const resources = { slots: 8, cores: 16, memory: 65_536, accelerators: 0 }
    const instance: Instance = { ...createEntryInstance(`w${number}`), role: 'worker', resources, connections: 60 }
    const server = new WorkerServer({ instance, clock, objects: platform.objects })
    await server.listen({ host: LOOPBACK, port: 0 })
    platform.instances.add(server.instance)
    servers.push(server)
  }
  return servers
}

function startNode (id: string, folder: string, platform: Address): { process: ChildProcess, control: Promise<string> } {
  const file = join(folder, `${id}.yaml`)
  const settings = {
    id, cell: 'measured', dataCentre: 'north', front: `${LOOPBACK}:0`, peer: `${LOOPBACK}:0`, control: `${LOOPBACK}:0`, platform: `${platform.host}:${platform.port}`, secret: SECRET
  }
  writeFileSync(file, Object.entries(settings).map(([key, value]) => `${key}: ${value}\n`).join(''))
  const child = spawn(process.execPath, [...NODE_FLAGS, CLI_FILE, 'node', '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
  const control = new Promise<string>(resolve => {
    child.stdout.setEncoding('utf8').on('data', (text: string) => {
      const found = /"control":"([^"]+)"/.exec(text)
      if (found !== null) resolve(found[1]!)
    })
  })
  return { process: child, control }
}

async function changeRules (control: string): Promise<void> {
  const headers = { authorization: `Bearer ${SECRET}` }
  const text = await (await fetch(`http://${control}/v1/rules`, { headers })).text()
  await fetch(`http://${control}/v1/rules`, { method: 'PUT', headers, body: `${text.trimEnd()}\n# changed ${Date.now()}\n` })
}

async function measureSetup (setup: Setup): Promise<{ figures: Figures[], reads: number, writes: number }> {
  const folder = mkdtempSync(join(tmpdir(), 'rattanstep-'))
  const platform = new PlatformServer({ clock: new SystemClock() })
  const address = await platform.listen({ host: LOOPBACK, port: 0 })
  const workers = await startWorkers(setup.workers, platform)
  const nodes = Array.from({ length: setup.nodes }, (_, number) => {
    platform.instances.add(createEntryInstance(`n${number}`))
    return startNode(`n${number}`, folder, address)
  })
  const control = await nodes[0]!.control
  await sleep(SETTLE_MS)
  let reads = 0
  const { read } = platform.table
  platform.table.read = async keys => {
    reads++
    return await read.call(platform.table, keys)
  }
  const { list } = platform.table
  platform.table.list = async range => {
    reads++
    return await list.call(platform.table, range)
  }
  const writes = platform.table.faultInjector.writeCount
  const before = nodes.map(node => readProcess(node.process.pid!))
  const changeTimer = setup.ruleChanges > 0 ? setInterval(() => { changeRules(control).catch(() => {}) }, 1000 / setup.ruleChanges) : null
  await sleep(MEASURE_MS)
  if (changeTimer !== null) clearInterval(changeTimer)
  const seconds = MEASURE_MS / 1000
  const figures = nodes.map((node, number) => calculateFigures(before[number]!, readProcess(node.process.pid!), seconds))
  const result = { figures, reads: reads / seconds, writes: (platform.table.faultInjector.writeCount - writes) / seconds }
  for (const node of nodes) node.process.kill('SIGKILL')
  await Promise.all(workers.map(async worker => { await worker.close() }))
  await platform.close()
  rmSync(folder, { recursive: true })
  return result
}

function mean (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

console.log('| nodes | workers | rule changes a second | processor, % of a core: mean, most | memory, MB: mean, most | bytes written a second: mean, most | bytes read a second: mean, most | table reads a second, all nodes | table writes a second, all nodes |')
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
for (const setup of SETUPS) {
  const { figures, reads, writes } = await measureSetup(setup)
  const formatMeanAndMost = (pick: (figure: Figures) => number, digits: number): string => {
    const values = figures.map(pick)
    return `${mean(values).toFixed(digits)}, ${Math.max(...values).toFixed(digits)}`
  }
  const cells = [
    setup.nodes,
    setup.workers,
    setup.ruleChanges,
    formatMeanAndMost(figure => figure.processor, 2),
    formatMeanAndMost(figure => figure.memory, 0),
    formatMeanAndMost(figure => figure.written, 0),
    formatMeanAndMost(figure => figure.read, 0),
    reads.toFixed(1),
    writes.toFixed(1)
  ]
  console.log(`| ${cells.join(' | ')} |`)
}
