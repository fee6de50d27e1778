//! How much a VM can do for the VMs that follow it.

/// Bytes per second of a bandwidth of 1 Mbit/s.
pub const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Least processor share, in thousandths of a core, and least link, in Mbit/s, of each class, strongest first. The classes are
/// coarse, so that small differences between VMs do not decide which VM is followed.
const CLASS_MINIMUMS: [(u32, u32); 2] = [(400, 100), (200, 20)];

/// Class of a VM that states its strength and reaches none of [`CLASS_MINIMUMS`].
const WEAK_CLASS: u8 = CLASS_MINIMUMS.len() as u8;

/// Processor share and link of a VM, as its settings state them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmStrength {
    /// Processor share in thousandths of a core, if known.
    pub cpu_milli: Option<u32>,
    /// Bandwidth of its link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
}

/// Coarse class of strength; the lowest is the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StrengthClass(u8);

impl StrengthClass {
    /// Class of VMs that do not state their strength, as those of older builds.
    pub const UNKNOWN: Self = Self(WEAK_CLASS + 1);
}

impl VmStrength {
    /// Returns the class; [`StrengthClass::UNKNOWN`] if one of both values is not known.
    pub fn class(&self) -> StrengthClass {
        let (Some(cpu_milli), Some(link_mbps)) = (self.cpu_milli, self.link_mbps) else {
            return StrengthClass::UNKNOWN;
        };
        let reached = CLASS_MINIMUMS.iter().position(|(least_cpu, least_link)| {
            cpu_milli >= *least_cpu && link_mbps >= *least_link
        });
        StrengthClass(reached.map_or(WEAK_CLASS, |class| class as u8))
    }
}
