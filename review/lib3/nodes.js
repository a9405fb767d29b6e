import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))
const PORTS = { frontend: 8161, controlPlane: 8166, readiness: 8167, internal: 7720, metrics: 9464 }

/** Processes of the system, started with the command of the deploy file and settings rendered from its template. */
export class Nodes {
  nodes = []

  constructor ({ store, folder, memory = 350, bounds = {} }) {
    Object.assign(this, { store, folder, memory, bounds })
    const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    this.template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8')
  }

  async start (count) {
    const prefix = await findPrefix(count)
    for (let index = 1; index <= count; index++) {
      const node = { name: `frontend-${'abc'[index % 3]}-${index}`, zone: 'abc'[index % 3], ip: `${prefix}.${index}` }
      node.callers = `${node.ip}:${PORTS.frontend}`
      this.nodes.push(node)
      this.run(node)
    }
  }

  run (node) {
    const file = join(this.folder, `${node.name}.yaml`)
    writeFileSync(file, render(this.template, this.settingsOf(node)))
    const [program, ...args] = this.command
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, { cwd: root, env: { PATH, HOME, LANG, RATTANSTEP_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${node.name}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    node.child = child
    child.once('exit', (code, signal) => {
      if (node.child !== child) return
      node.child = undefined
      node.end = { code, signal }
      if (!this.isStopping) node.timer = setTimeout(() => this.run(node), 500)
    })
  }

  settingsOf ({ name, zone, ip }) {
    return {
      node: name,
      role: 'cell',
      machine_class: 'frontend',
      serves: ['frontend'],
      ip,
      zone,
      region: 'r',
      internal_ports: [PORTS.internal, PORTS.internal + 15],
      advice: this.advice ?? '127.0.0.1:9',
      listen_addrs: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}`, control_plane: `${ip}:${PORTS.controlPlane}` },
      limits: { cpu_share: 0.675, cpu_cores: 1, memory_mb: this.memory, max_fds: 4100, link_mbps: 1000 },
      bounds: { grace_s: 6, hold_max_ms: 10_000, status_s: 120, ...this.bounds },
      platform: { address: this.store.address }
    }
  }

  /** @returns the node that last wrote to the store under a condition */
  decider () {
    const term = this.store.read('term', 'd', 'term')
    return this.nodes.find(({ name }) => name === term?.node)
  }

  stop () {
    this.isStopping = true
    for (const node of this.nodes) {
      clearTimeout(node.timer)
      node.child?.kill('SIGCONT')
      node.child?.kill('SIGKILL')
    }
  }
}

/** @returns first three numbers of loopback addresses on which the ports are free */
async function findPrefix (count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const prefix = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    const free = await Promise.all(Array.from({ length: count }, (_, index) => Object.values(PORTS).map(port => isFree(`${prefix}.${index + 1}`, port))).flat())
    if (free.every(Boolean)) return prefix
  }
  throw new Error('no free ports')
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer().once('error', () => resolve(false)).listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Fills the placeholders that the template of the settings uses. */
function render (template, fields) {
  return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((part, key) => part?.[key], fields)
    return isJson === undefined ? String(value ?? '') : JSON.stringify(value)
  })
}
