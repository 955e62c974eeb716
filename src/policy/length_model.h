#ifndef MEADOWTHREAD_POLICY_LENGTH_MODEL_H_
#define MEADOWTHREAD_POLICY_LENGTH_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "policy/length_survival_curve.h"
#include "policy/string_map.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Output lengths are learned separately for each key.
struct LengthKey {
  std::string workspace;
  std::string template_name;
  std::string model;
};

/// @brief The key of a work item.
LengthKey LengthKeyOf(const WorkItem& work);

/// @brief Predicts the distribution of output lengths.
class LengthModel {
 public:
  virtual ~LengthModel() = default;

  /// @brief Learns from the length of an output that finished normally.
  virtual void Observe(const LengthKey& key, std::int64_t tokens) = 0;

  /// @brief The expected distribution of output lengths for a key; never null.
  virtual std::shared_ptr<const LengthSurvivalCurve> CurveOf(
      const LengthKey& key) = 0;

  /// @brief The distribution over all keys, used for streams of other hosts.
  virtual std::shared_ptr<const LengthSurvivalCurve> OverallCurve() = 0;
};

/// @brief Limits and learning rates of LearnedLengthModel.
struct LengthModelOptions {
  /// Beyond this number, the least recently observed key is evicted.
  std::size_t max_keys = 32'768;
  double decay = 0.995;  ///< factor applied to old weights at each observation,
                         ///< to follow changes
  double prior_weight = 12.0;  ///< weight of the prior, in observations
};

/// @brief Learns lengths with decaying histograms over logarithmically spaced
/// buckets, one for each key of workspace, template and model. The histogram of
/// the model serves as the prior of a key with few observations, and the
/// overall histogram as that of a model.
class LearnedLengthModel final : public LengthModel {
 public:
  explicit LearnedLengthModel(LengthModelOptions options = {});

  void Observe(const LengthKey& key, std::int64_t tokens) override;
  std::shared_ptr<const LengthSurvivalCurve> CurveOf(
      const LengthKey& key) override;
  std::shared_ptr<const LengthSurvivalCurve> OverallCurve() override;

  /// @brief Number of keys held.
  std::size_t KeyCount() const { return this->keys.size(); }

  /// @brief Bytes used by the state of one key, including its curve.
  static std::size_t BytesPerKey();

 private:
  struct Histogram {
    std::array<float, kLengthBuckets> weights = {};
    float total = 0.0F;
    /// Observations since `curve` was built.
    std::uint32_t new_observations = 0;
    /// Position in `recency`.
    std::list<std::string>::iterator recency_position;
    std::shared_ptr<const LengthSurvivalCurve> curve;
  };

  void Add(Histogram& histogram, std::int64_t tokens) const;
  std::shared_ptr<const LengthSurvivalCurve> Blend(
      Histogram& own, const Histogram* prior) const;
  Histogram& ModelHistogram(const std::string& model);
  Histogram& KeyHistogram(const std::string& joined_key);

  LengthModelOptions options;
  Histogram overall;
  StringMap<std::unique_ptr<Histogram>> models;
  StringMap<std::unique_ptr<Histogram>> keys;
  std::list<std::string> recency;  ///< keys, most recently observed first
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LENGTH_MODEL_H_
